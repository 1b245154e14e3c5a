package lacewingweir.coordination.membership

import lacewingweir.state.membership.EpochDocument

/** A [document] to write if the store holds one of [expected]. It is counted as [event] once it is written. */
internal class EpochChange(
    val expected: List<EpochDocument?>,
    val document: EpochDocument,
    val event: MembershipEvent,
)
