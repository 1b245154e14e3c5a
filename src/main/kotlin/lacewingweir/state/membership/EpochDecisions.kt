package lacewingweir.state.membership

import lacewingweir.state.id.InstanceName

/**
 * Rules for changes of the membership epoch; see section 5.3 of the design.
 *
 * All functions take the reports of the deciding instance, its own among them, and the time on its own clock.
 */
public object EpochDecisions {
    /**
     * Whether the pending [document] may become active, and why.
     *
     * Only reports of this epoch that are fresh count, so that the vote of a former run isn't counted after its
     * successor may have acknowledged heartbeats of the old epoch.
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
        val old = confirmations.count { nowMillis - it >= limits.activationWaitMillis }
        return when {
            confirmations.size == previous.size -> ActivationBasis.ALL_CONFIRMED
            HeartbeatRounds.isMajority(old, previous.size) -> ActivationBasis.MAJORITY_AFTER_WAIT
            else -> null
        }
    }

    /**
     * The epoch in which [self] joins, or null if it can't propose one now.
     *
     * Other ready instances at the same epoch join with it. Nothing is proposed while a live instance reports another
     * epoch, or while most members are silent and [listenedMillis] is short, because the document may then come from
     * a store that was restored from an older copy.
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
        val heard = fresh.count { it.epoch == document.epoch && it.name in document.members }
        val majority = document.members.isEmpty() || HeartbeatRounds.isMajority(heard, document.members.size)
        if (!majority && listenedMillis < limits.silenceMillis) return null
        val others = fresh.filter { it.ready && it.epoch == document.epoch }.map { it.name }
        return successor(document, document.members + others + self)
    }

    /**
     * The epoch without the members that have been silent since before [watchedSinceMillis] and for
     * [MembershipLimits.silenceMillis], or null.
     *
     * Only the lowest-named live member proposes, and only if it hears a majority: one that hears nobody is cut off
     * itself.
     */
    public fun removalProposal(
        document: EpochDocument,
        self: InstanceName,
        reports: Map<InstanceName, MemberReport>,
        watchedSinceMillis: Long,
        nowMillis: Long,
        limits: MembershipLimits,
    ): EpochDocument? {
        if (document.phase != EpochPhase.ACTIVE || self !in document.members) return null
        val live = document.members.filter { it == self || isFresh(reports[it], nowMillis, limits) }
        if (live.minByOrNull { it.value } != self) return null
        if (!HeartbeatRounds.isMajority(live.size, document.members.size)) return null
        val silent =
            document.members.filter { name ->
                val heard = maxOf(reports[name]?.heardMillis ?: watchedSinceMillis, watchedSinceMillis)
                name != self && nowMillis - heard >= limits.silenceMillis
            }
        return if (silent.isEmpty()) null else successor(document, document.members - silent.toSet())
    }

    /** The epoch without [self], or null if it is no member or a change is in progress. */
    public fun leave(
        document: EpochDocument,
        self: InstanceName,
    ): EpochDocument? {
        if (document.phase != EpochPhase.ACTIVE || self !in document.members) return null
        return successor(document, document.members - self)
    }

    /**
     * The first epoch ever, of [self] and all live instances, or null if it can't be founded now.
     *
     * [recorded] are the instances with a record in the store. If some of them are silent, a member of an epoch that
     * the store has lost may be among them; it gets [MembershipLimits.firstEpochWaitMillis] to write it back.
     */
    public fun first(
        self: InstanceName,
        recorded: Set<InstanceName>,
        reports: Map<InstanceName, MemberReport>,
        absentMillis: Long,
        nowMillis: Long,
        limits: MembershipLimits,
    ): EpochDocument? {
        val fresh = reports.values.filter { isFresh(it, nowMillis, limits) }
        if (fresh.any { it.epoch > 0 }) return null
        val live = fresh.map { it.name } + self
        val wait = if (live.containsAll(recorded)) limits.joinListenMillis else limits.firstEpochWaitMillis
        if (absentMillis < wait) return null
        return EpochDocument(1, EpochPhase.ACTIVE, emptyList(), sorted(live))
    }

    /** The epoch that follows two contradicting documents: everyone of either must shrink or stop before it grows. */
    public fun reconciliation(
        one: EpochDocument,
        other: EpochDocument,
    ): EpochDocument {
        val members = sorted(one.members + other.members)
        val previous = sorted(members + one.previousMembers + other.previousMembers)
        return EpochDocument(maxOf(one.epoch, other.epoch) + 1, EpochPhase.PENDING, previous, members)
    }

    /**
     * Whether a restarted instance that can't read the store may acknowledge heartbeats of [document].
     *
     * Its predecessor may have acknowledged, or adopted a later epoch, just before. After
     * [MembershipLimits.authorityMillis] of its own run the first has no effect. The second is excluded if a majority
     * acknowledges this epoch without its vote ([majorityWithoutSelf]). With [MembershipLimits.voteOnUnanimity] it is
     * also taken as excluded if every member reports this epoch, which doesn't hold if all instances that knew a later
     * one have restarted.
     */
    public fun mayVote(
        document: EpochDocument,
        self: InstanceName,
        reports: Map<InstanceName, MemberReport>,
        majorityWithoutSelf: Boolean,
        ranMillis: Long,
        nowMillis: Long,
        limits: MembershipLimits,
    ): Boolean {
        if (ranMillis < limits.authorityMillis) return false
        val fresh = reports.values.filter { isFresh(it, nowMillis, limits) }
        if (fresh.any { it.epoch > document.epoch }) return false
        val agreeing = fresh.filter { it.epoch == document.epoch }.map { it.name } + self
        return majorityWithoutSelf || (limits.voteOnUnanimity && agreeing.containsAll(document.members))
    }

    /** Whether [report] is recent enough to speak about the present. */
    public fun isFresh(
        report: MemberReport?,
        nowMillis: Long,
        limits: MembershipLimits,
    ): Boolean = report != null && nowMillis - report.heardMillis < limits.freshMillis

    private fun successor(
        document: EpochDocument,
        members: Collection<InstanceName>,
    ): EpochDocument = EpochDocument(document.epoch + 1, EpochPhase.PENDING, document.members, sorted(members))

    private fun sorted(names: Collection<InstanceName>): List<InstanceName> = names.distinct().sortedBy { it.value }
}
