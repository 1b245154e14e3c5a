package lacewingweir.coordination.membership

import lacewingweir.coordination.peer.PeerNetwork
import lacewingweir.state.id.InstanceName
import lacewingweir.state.membership.ActivationBasis
import lacewingweir.state.membership.EpochDecisions
import lacewingweir.state.membership.EpochDocument
import lacewingweir.state.membership.EpochPhase
import lacewingweir.state.membership.MemberReport
import lacewingweir.state.membership.MembershipLimits
import lacewingweir.state.time.MonotonicClock
import kotlin.random.Random

/**
 * Decides which change of the epoch this instance should write next, based on the reports of its peers.
 *
 * Not thread-safe: used only by the task that changes the epoch. [registeredInstances] contains the instances that have
 * a record in the store.
 */
internal class EpochPlanner(
    private val network: PeerNetwork,
    private val reports: PeerReports,
    private val registeredInstances: Set<InstanceName>,
    private val clock: MonotonicClock,
    private val limits: MembershipLimits,
    private val random: Random,
) {
    private val startedMillis = clock.nowMillis()
    private val joinDelayMillis = limits.joinListenMillis + random.nextLong(limits.heartbeatPeriodMillis)

    // The epoch that this instance confirmed last, and the time of the confirmation.
    private var ownConfirmation: Pair<Long, Long>? = null

    private val self: InstanceName get() = network.self.name

    /**
     * Returns the change that the held [state] and the reports require now, or null if there is none.
     *
     * An instance that is [leaving] proposes only its own removal. The silence of other members counts from
     * [observedSinceMillis] at the earliest.
     */
    fun nextChange(
        state: MembershipState,
        leaving: Boolean,
        observedSinceMillis: Long,
    ): EpochChange? {
        val now = clock.nowMillis()
        val document = state.document ?: return initialEpochChange(state, leaving, now)
        val contradicting = state.contradicting
        return when {
            state.storeBehind || state.superseded -> null
            contradicting != null -> reconciliation(document, contradicting)
            document.phase == EpochPhase.PENDING -> activation(document, state, now)
            leaving -> leaveChange(document)
            else -> membershipChange(document, state, observedSinceMillis, now)
        }
    }

    private fun initialEpochChange(
        state: MembershipState,
        leaving: Boolean,
        nowMillis: Long,
    ): EpochChange? {
        val absentMillis = state.epochAbsentSinceMillis?.let { nowMillis - it }
        if (absentMillis == null || leaving) return null
        return EpochDecisions
            .initialEpoch(self, registeredInstances, reports.all(), absentMillis, nowMillis, limits)
            ?.takeIf { isTurnToWrite(it.members, absentMillis - limits.joinListenMillis) }
            ?.let { EpochChange(listOf(null), it, MembershipEvent.FOUNDED) }
    }

    private fun reconciliation(
        document: EpochDocument,
        contradicting: EpochDocument,
    ): EpochChange =
        EpochChange(
            listOf(document, contradicting),
            EpochDecisions.reconciledEpoch(document, contradicting),
            MembershipEvent.WRITTEN_BACK,
        )

    private fun activation(
        document: EpochDocument,
        state: MembershipState,
        nowMillis: Long,
    ): EpochChange? {
        val basis =
            EpochDecisions.activationBasis(document, reportsWithSelf(state, nowMillis), nowMillis, limits)
                ?: return null
        val event =
            when (basis) {
                ActivationBasis.ALL_CONFIRMED -> MembershipEvent.ACTIVATED_BY_ALL
                ActivationBasis.MAJORITY_AFTER_WAIT -> MembershipEvent.ACTIVATED_BY_MAJORITY
            }
        val participants = document.previousMembers + document.members
        val requiredWaitMillis = if (basis == ActivationBasis.ALL_CONFIRMED) 0 else limits.activationWaitMillis
        if (!isTurnToWrite(participants, nowMillis - state.adoptedAtMillis - requiredWaitMillis)) return null
        return EpochChange(listOf(document), document.copy(phase = EpochPhase.ACTIVE), event)
    }

    private fun leaveChange(document: EpochDocument): EpochChange? =
        EpochDecisions.leaveProposal(document, self)?.let {
            EpochChange(listOf(document), it, MembershipEvent.LEAVE_PROPOSED)
        }

    private fun membershipChange(
        document: EpochDocument,
        state: MembershipState,
        observedSinceMillis: Long,
        nowMillis: Long,
    ): EpochChange? {
        val allReports = reportsWithSelf(state, nowMillis)
        val removal = EpochDecisions.removalProposal(document, self, allReports, observedSinceMillis, nowMillis, limits)
        if (removal != null) return EpochChange(listOf(document), removal, MembershipEvent.REMOVAL_PROPOSED)
        val listenedMillis = nowMillis - startedMillis
        val recentlyRemoved = state.removedAtMillis?.let { nowMillis - it < limits.rejoinDelayMillis } ?: false
        if (!state.epochVerified || recentlyRemoved || listenedMillis < joinDelayMillis) return null
        return EpochDecisions
            .joinProposal(document, self, allReports, listenedMillis, nowMillis, limits)
            ?.let { EpochChange(listOf(document), it, MembershipEvent.JOIN_PROPOSED) }
    }

    /**
     * Returns whether this instance may write a change that has been possible for [eligibleForMillis].
     *
     * The live participant with the lowest name writes at once. The others wait for a random delay first, so that the
     * instances don't compete for every change.
     */
    private fun isTurnToWrite(
        participants: List<InstanceName>,
        eligibleForMillis: Long,
    ): Boolean {
        val now = clock.nowMillis()
        val latestReports = reports.all()
        val lowestLive =
            participants
                .filter { it == self || EpochDecisions.isFresh(latestReports[it], now, limits) }
                .minByOrNull { it.value }
        return lowestLive == self ||
            eligibleForMillis > limits.maxReportAgeMillis + random.nextLong(limits.maxReportAgeMillis)
    }

    private fun reportsWithSelf(
        state: MembershipState,
        nowMillis: Long,
    ): Map<InstanceName, MemberReport> {
        val confirmedSince = if (state.confirmedEpoch == state.epoch) ownConfirmationMillis(state, nowMillis) else null
        val ownReport =
            MemberReport(
                self,
                network.self.incarnation,
                state.epoch,
                state.confirmedEpoch,
                ready = false,
                receivedAtMillis = nowMillis,
                confirmedSinceMillis = confirmedSince,
            )
        return reports.all() + (self to ownReport)
    }

    private fun ownConfirmationMillis(
        state: MembershipState,
        nowMillis: Long,
    ): Long {
        val known = ownConfirmation
        if (known != null && known.first == state.epoch) return known.second
        ownConfirmation = state.epoch to nowMillis
        return nowMillis
    }
}
