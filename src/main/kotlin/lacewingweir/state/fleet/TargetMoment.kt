package lacewingweir.state.fleet

import lacewingweir.state.id.ModelName
import lacewingweir.state.id.WeightsNumber

/**
 * The target [weights] of [model] were set after [unixMillis], according to the wall clock of the instance that wrote
 * it to the store.
 */
internal data class TargetMoment(
    val model: ModelName,
    val weights: WeightsNumber,
    val unixMillis: Long,
) {
    fun isSameTarget(other: TargetMoment) = model == other.model && weights == other.weights
}
