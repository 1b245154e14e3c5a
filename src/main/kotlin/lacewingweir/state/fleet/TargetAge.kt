package lacewingweir.state.fleet

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import lacewingweir.state.id.ModelName

/** The target [weights] of [model] were set [ageMillis] ago at most, according to an instance that observed it. */
@Serializable
internal data class TargetAge(
    @CborLabel(1) val model: ModelName,
    @CborLabel(2) val weights: Long,
    @CborLabel(3) val ageMillis: Long,
)
