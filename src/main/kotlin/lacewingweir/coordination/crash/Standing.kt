package lacewingweir.coordination.crash

import lacewingweir.state.id.SuspectId

/** Whether a call may be sent to endpoints. */
internal sealed interface Standing {
    data object Clear : Standing

    /** The request crashed several endpoints and was never answered. It may be sent in a trial only. */
    data object OnTrial : Standing

    /** The call would crash any endpoint, because of [cause]. */
    data class Blocked(
        val cause: SuspectId,
    ) : Standing
}

/** What the quarantine has counted since the start, and the numbers of suspects and blocked ids at present. */
internal data class QuarantineFigures(
    val blockedParts: Int,
    val blockedRequests: Int,
    val requestsOnTrial: Int,
    val blockedCalls: Long,
    val trials: Long,
    val failedTrials: Long,
)
