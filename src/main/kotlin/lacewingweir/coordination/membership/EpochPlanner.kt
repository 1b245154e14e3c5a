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
 * Decides which change of the epoch this instance should write next, from what peers reported.
 *
 * Used by the one task that changes the epoch. [recorded] are the instances with a record in the store.
 */
internal class EpochPlanner(
    private val network: PeerNetwork,
    private val reports: PeerReports,
    private val recorded: Set<InstanceName>,
    private val clock: MonotonicClock,
    private val limits: MembershipLimits,
    private val random: Random,
) {
    private val startedMillis = clock.nowMillis()
    private val joinDelayMillis = limits.joinListenMillis + random.nextLong(limits.heartbeatMillis)
    private var ownConfirmation: Pair<Long, Long>? = null

    private val self: InstanceName get() = network.self.name

    /**
     * The change of the epoch that [held] and the reports call for now, or null. An instance that is [leaving] only
     * proposes its own removal. The silence of others counts only from [watchedSinceMillis] on.
     */
    fun nextStep(
        held: MembershipState,
        leaving: Boolean,
        watchedSinceMillis: Long,
    ): EpochStep? {
        val now = clock.nowMillis()
        val document = held.document ?: return founding(held, leaving, now)
        val contradicting = held.contradicting
        return when {
            held.storeBehind || held.superseded -> null
            contradicting != null -> reconciliation(document, contradicting)
            document.phase == EpochPhase.PENDING -> activation(document, held, now)
            leaving -> departure(document)
            else -> proposal(document, held, watchedSinceMillis, now)
        }
    }

    private fun founding(
        held: MembershipState,
        leaving: Boolean,
        nowMillis: Long,
    ): EpochStep? {
        val absentMillis = held.absentSinceMillis?.let { nowMillis - it }
        if (absentMillis == null || leaving) return null
        return EpochDecisions
            .first(self, recorded, reports.all(), absentMillis, nowMillis, limits)
            ?.takeIf { isDriver(it.members, absentMillis - limits.joinListenMillis) }
            ?.let { EpochStep(listOf(null), it, MembershipEvent.FOUNDED) }
    }

    private fun reconciliation(
        document: EpochDocument,
        contradicting: EpochDocument,
    ): EpochStep =
        EpochStep(
            listOf(document, contradicting),
            EpochDecisions.reconciliation(document, contradicting),
            MembershipEvent.WRITTEN_BACK,
        )

    private fun activation(
        document: EpochDocument,
        held: MembershipState,
        nowMillis: Long,
    ): EpochStep? {
        val ground =
            EpochDecisions.activationBasis(document, reportsWithSelf(held, nowMillis), nowMillis, limits) ?: return null
        val kind =
            when (ground) {
                ActivationBasis.ALL_CONFIRMED -> MembershipEvent.ACTIVATED_BY_ALL
                ActivationBasis.MAJORITY_AFTER_WAIT -> MembershipEvent.ACTIVATED_BY_MAJORITY
            }
        val participants = document.previousMembers + document.members
        val waited = if (ground == ActivationBasis.ALL_CONFIRMED) 0 else limits.activationWaitMillis
        if (!isDriver(participants, nowMillis - held.adoptedMillis - waited)) return null
        return EpochStep(listOf(document), document.copy(phase = EpochPhase.ACTIVE), kind)
    }

    private fun departure(document: EpochDocument): EpochStep? =
        EpochDecisions.leave(document, self)?.let {
            EpochStep(listOf(document), it, MembershipEvent.LEAVE_PROPOSED)
        }

    private fun proposal(
        document: EpochDocument,
        held: MembershipState,
        watchedSinceMillis: Long,
        nowMillis: Long,
    ): EpochStep? {
        val all = reportsWithSelf(held, nowMillis)
        val removal = EpochDecisions.removalProposal(document, self, all, watchedSinceMillis, nowMillis, limits)
        if (removal != null) return EpochStep(listOf(document), removal, MembershipEvent.REMOVAL_PROPOSED)
        val listened = nowMillis - startedMillis
        val recentlyRemoved = held.removedMillis?.let { nowMillis - it < limits.rejoinDelayMillis } ?: false
        if (!held.settled || recentlyRemoved || listened < joinDelayMillis) return null
        return EpochDecisions
            .joinProposal(document, self, all, listened, nowMillis, limits)
            ?.let { EpochStep(listOf(document), it, MembershipEvent.JOIN_PROPOSED) }
    }

    /**
     * Whether it is this instance's turn to write. The lowest-named live participant goes first; the others follow if
     * the step was possible for long, so that a fleet doesn't race for each change.
     */
    private fun isDriver(
        participants: List<InstanceName>,
        possibleForMillis: Long,
    ): Boolean {
        val now = clock.nowMillis()
        val all = reports.all()
        val lowest =
            participants
                .filter { it == self || EpochDecisions.isFresh(all[it], now, limits) }
                .minByOrNull { it.value }
        return lowest == self || possibleForMillis > limits.freshMillis + random.nextLong(limits.freshMillis)
    }

    private fun reportsWithSelf(
        held: MembershipState,
        nowMillis: Long,
    ): Map<InstanceName, MemberReport> {
        val confirmedSince = if (held.confirmedEpoch == held.epoch) confirmedMillis(held, nowMillis) else null
        val own =
            MemberReport(
                self,
                network.self.incarnation,
                held.epoch,
                held.confirmedEpoch,
                ready = false,
                heardMillis = nowMillis,
                confirmedSinceMillis = confirmedSince,
            )
        return reports.all() + (self to own)
    }

    private fun confirmedMillis(
        held: MembershipState,
        nowMillis: Long,
    ): Long {
        val known = ownConfirmation
        if (known != null && known.first == held.epoch) return known.second
        ownConfirmation = held.epoch to nowMillis
        return nowMillis
    }
}
