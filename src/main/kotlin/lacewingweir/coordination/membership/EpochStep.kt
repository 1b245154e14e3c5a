package lacewingweir.coordination.membership

import lacewingweir.state.membership.EpochDocument

/** A [document] to write in place of one of [bases], counted as [event] once it is written. */
internal class EpochStep(
    val bases: List<EpochDocument?>,
    val document: EpochDocument,
    val event: MembershipEvent,
)
