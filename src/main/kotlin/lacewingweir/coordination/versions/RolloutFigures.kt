package lacewingweir.coordination.versions

import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.SoftwareVersion
import lacewingweir.state.versions.RolloutPhase

/**
 * What one instance knows of a rollout that runs, for its reports.
 *
 * @property share the share of its calls that it sends to the target
 * @property ageMillis the time since the order became known, and [phaseAgeMillis] the time since the phase began
 * @property stoppedHere whether this instance has stopped calls to the target on its own
 */
internal data class RolloutFigures(
    val service: ServiceName,
    val target: SoftwareVersion,
    val phase: RolloutPhase,
    val share: Double,
    val ageMillis: Long,
    val phaseAgeMillis: Long,
    val stoppedHere: Boolean,
    val evidence: String,
) {
    override fun toString(): String =
        "service=$service target=$target phase=$phase share=${"%.3f".format(share)} ageMs=$ageMillis " +
            "phaseMs=$phaseAgeMillis stoppedHere=$stoppedHere $evidence"
}
