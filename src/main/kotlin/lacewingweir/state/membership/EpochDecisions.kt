package lacewingweir.state.membership

import lacewingweir.state.id.InstanceName

/**
 * Rules for changing the membership epoch.
 *
 * Every function takes the latest reports as the deciding instance received them, and times of that instance's own
 * monotonic clock.
 */
public object EpochDecisions {
    /**
     * Returns the condition under which the pending [document] may become active, or null if it may not yet.
     *
     * [reports] must include the deciding instance's own report. Only recent reports of this epoch count. An older
     * confirmation may come from an earlier run, and a restarted instance may since have acknowledged heartbeats of
     * the previous epoch.
     */
    public fun activationBasis(
        document: EpochDocument,
        reports: Map<InstanceName, MemberReport>,
        nowMillis: Long,
        limits: MembershipLimits,
    ): ActivationBasis? {
        if (document.phase != EpochPhase.PENDING) return null
        val previous = document.previousMembers
        val confirmations =
            previous.mapNotNull { name ->
                reports[name]
                    ?.takeIf { it.epoch == document.epoch && isFresh(it, nowMillis, limits) }
                    ?.confirmedSinceMillis
            }
        val confirmedBeforeWait = confirmations.count { nowMillis - it >= limits.activationWaitMillis }
        return when {
            confirmations.size == previous.size -> ActivationBasis.ALL_CONFIRMED
            HeartbeatRounds.isMajority(confirmedBeforeWait, previous.size) -> ActivationBasis.MAJORITY_AFTER_WAIT
            else -> null
        }
    }

    /**
     * Returns the successor of [document] that adds [self], or null if [self] can't propose one now.
     *
     * Other ready instances at the same epoch are added too. Returns null while a live instance reports a later epoch.
     * Also returns null while [self] has no recent reports from a majority and has listened for less than
     * [MembershipLimits.failureTimeoutMillis], because the document may then come from a store that was restored from
     * an older copy.
     */
    public fun joinProposal(
        document: EpochDocument,
        self: InstanceName,
        reports: Map<InstanceName, MemberReport>,
        listenedMillis: Long,
        nowMillis: Long,
        limits: MembershipLimits,
    ): EpochDocument? {
        if (document.phase != EpochPhase.ACTIVE || self in document.members) return null
        val fresh = reports.values.filter { isFresh(it, nowMillis, limits) }
        if (fresh.any { it.epoch > document.epoch }) return null
        val liveMembers = fresh.count { it.epoch == document.epoch && it.name in document.members }
        val majorityIsLive =
            document.members.isEmpty() || HeartbeatRounds.isMajority(liveMembers, document.members.size)
        if (!majorityIsLive && listenedMillis < limits.failureTimeoutMillis) return null
        val others = fresh.filter { it.ready && it.epoch == document.epoch }.map { it.name }
        return successor(document, document.members + others + self)
    }

    /**
     * Returns the successor of [document] without its failed members, or null if there is nothing to remove or [self]
     * may not propose it.
     *
     * A member has failed if no report arrived for [MembershipLimits.failureTimeoutMillis], counted from
     * [observedSinceMillis] at the earliest. Only the live member with the lowest name proposes, and only while it
     * receives reports from a majority, because otherwise it may be partitioned itself.
     */
    public fun removalProposal(
        document: EpochDocument,
        self: InstanceName,
        reports: Map<InstanceName, MemberReport>,
        observedSinceMillis: Long,
        nowMillis: Long,
        limits: MembershipLimits,
    ): EpochDocument? {
        if (document.phase != EpochPhase.ACTIVE || self !in document.members) return null
        val live = document.members.filter { it == self || isFresh(reports[it], nowMillis, limits) }
        if (live.minByOrNull { it.value } != self) return null
        if (!HeartbeatRounds.isMajority(live.size, document.members.size)) return null
        val failed =
            document.members.filter { name ->
                val lastReportMillis =
                    maxOf(reports[name]?.receivedAtMillis ?: observedSinceMillis, observedSinceMillis)
                name != self && nowMillis - lastReportMillis >= limits.failureTimeoutMillis
            }
        return if (failed.isEmpty()) null else successor(document, document.members - failed.toSet())
    }

    /** Returns the successor of [document] without [self], or null if [self] is no member or a change is pending. */
    public fun leaveProposal(
        document: EpochDocument,
        self: InstanceName,
    ): EpochDocument? {
        if (document.phase != EpochPhase.ACTIVE || self !in document.members) return null
        return successor(document, document.members - self)
    }

    /**
     * Returns the first epoch of the fleet, with [self] and all live instances, or null if it may not be created now.
     *
     * [registered] contains the instances that have a record in the store, and [absentMillis] is the time for which
     * the store is known to hold no epoch. If a registered instance is silent, it may be a member of an epoch that the
     * store has lost. It then gets [MembershipLimits.firstEpochWaitMillis] to write that epoch back.
     */
    public fun initialEpoch(
        self: InstanceName,
        registered: Set<InstanceName>,
        reports: Map<InstanceName, MemberReport>,
        absentMillis: Long,
        nowMillis: Long,
        limits: MembershipLimits,
    ): EpochDocument? {
        val fresh = reports.values.filter { isFresh(it, nowMillis, limits) }
        if (fresh.any { it.epoch > 0 }) return null
        val live = fresh.map { it.name } + self
        val requiredAbsenceMillis =
            if (live.containsAll(registered)) limits.joinListenMillis else limits.firstEpochWaitMillis
        if (absentMillis < requiredAbsenceMillis) return null
        return EpochDocument(1, EpochPhase.ACTIVE, emptyList(), sorted(live))
    }

    /**
     * Returns the pending successor of two documents that contradict each other. All members of both must reduce their
     * shares or stop before any share grows.
     */
    public fun reconciledEpoch(
        first: EpochDocument,
        second: EpochDocument,
    ): EpochDocument {
        val members = sorted(first.members + second.members)
        val previous = sorted(members + first.previousMembers + second.previousMembers)
        return EpochDocument(maxOf(first.epoch, second.epoch) + 1, EpochPhase.PENDING, previous, members)
    }

    /**
     * Returns whether a restarted instance that can't read the store may acknowledge heartbeats of [document].
     *
     * Two actions of its previous run must have no effect any more:
     * - It may have acknowledged a heartbeat just before it stopped. The resulting contact proof expires after
     *   [MembershipLimits.authorityMillis], so [uptimeMillis] must be at least that long.
     * - It may have adopted a later epoch. This is excluded if a majority acknowledges this epoch without the vote of
     *   [self] ([majorityWithoutSelf]). With [MembershipLimits.voteOnUnanimity] it also counts as excluded if every
     *   member reports this epoch, which is wrong if all instances that knew a later epoch have restarted.
     */
    public fun mayVote(
        document: EpochDocument,
        self: InstanceName,
        reports: Map<InstanceName, MemberReport>,
        majorityWithoutSelf: Boolean,
        uptimeMillis: Long,
        nowMillis: Long,
        limits: MembershipLimits,
    ): Boolean {
        if (uptimeMillis < limits.authorityMillis) return false
        val fresh = reports.values.filter { isFresh(it, nowMillis, limits) }
        if (fresh.any { it.epoch > document.epoch }) return false
        val agreeing = fresh.filter { it.epoch == document.epoch }.map { it.name } + self
        return majorityWithoutSelf || (limits.voteOnUnanimity && agreeing.containsAll(document.members))
    }

    /** Returns whether [report] is recent enough to describe the present state of its sender. */
    public fun isFresh(
        report: MemberReport?,
        nowMillis: Long,
        limits: MembershipLimits,
    ): Boolean = report != null && nowMillis - report.receivedAtMillis < limits.maxReportAgeMillis

    private fun successor(
        document: EpochDocument,
        members: Collection<InstanceName>,
    ): EpochDocument = EpochDocument(document.epoch + 1, EpochPhase.PENDING, document.members, sorted(members))

    private fun sorted(names: Collection<InstanceName>): List<InstanceName> = names.distinct().sortedBy { it.value }
}
