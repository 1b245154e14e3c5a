/**
 * Follows the rollouts of software versions at one instance: which endpoints may get calls, and what their answers
 * show.
 *
 * The steps come from the store, where the lease holder writes them. Without it and without the store, an instance
 * keeps the shares of calls as they are, and stops calls to a target on its own when too many bad answers are known.
 * A final phase is remembered, so that a store restored from an older copy can't take it back for the same order. Nor
 * can an earlier order that such a copy brings back replace a later one.
 */
package lacewingweir.coordination.versions

import io.github.oshai.kotlinlogging.KotlinLogging
import lacewingweir.coordination.fleet.FleetSnapshot
import lacewingweir.coordination.fleet.StoredOrder
import lacewingweir.coordination.gossip.InstanceDigest
import lacewingweir.coordination.gossip.VersionTally
import lacewingweir.coordination.placement.VersionRules
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.SoftwareVersion
import lacewingweir.state.time.MonotonicClock
import lacewingweir.state.versions.AnswerTally
import lacewingweir.state.versions.ExposureCredit
import lacewingweir.state.versions.PeerContact
import lacewingweir.state.versions.RolloutOrder
import lacewingweir.state.versions.RolloutPhase
import lacewingweir.state.versions.RolloutStep
import lacewingweir.state.versions.StepFacts
import lacewingweir.state.versions.mayServe
import lacewingweir.state.versions.mustStopAlone
import lacewingweir.state.versions.nextPhase
import lacewingweir.state.versions.total
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

/**
 * @property exposeShare the share of a service's calls that a bad version may get
 * @property exposeSlack the calls that it may get in addition
 * @property instances returns the number of instances of the fleet
 * @property unixMillis returns the time of day, in which the steps are dated
 */
internal class VersionRollouts(
    private val exposeShare: Double,
    private val exposeSlack: Double,
    private val clock: MonotonicClock,
    private val unixMillis: () -> Long = System::currentTimeMillis,
    private val instances: () -> Int,
    private val random: Random = Random.Default,
) {
    private val counts = RolloutCounts()
    private val contact = PeerContact()
    private val rollouts = HashMap<ServiceName, ServiceRollout>()

    /** When versions that came without an order begin to serve. */
    private val unordered = HashMap<ServiceName, HashMap<SoftwareVersion, Long>>()
    private var stored: Map<ServiceName, Set<SoftwareVersion>> = emptyMap()
    private var fleet: FleetSnapshot? = null
    private var firstFleetMillis = 0L

    /** Since when no endpoint of an allowed version is registered although others are. */
    private val absentSinceMillis = HashMap<ServiceName, Long>()

    val rules = VersionRules(::accepting, ::preferring, ::isReference, ::onPlaced, ::onRejected)

    /** The versions that serve without an order, for the store. Null until all endpoints that run must be known. */
    @get:Synchronized
    val baseline: Map<ServiceName, Set<SoftwareVersion>>?
        get() {
            if (!isWarm()) return null
            return stored + (unordered.keys - rollouts.keys).associateWith(::versionsWithoutOrder)
        }

    private fun isWarm() = fleet != null && clock.nowMillis() - firstFleetMillis >= WARM_UP_MILLIS

    /** Applies a new snapshot of the fleet. */
    @Synchronized
    fun onFleet(snapshot: FleetSnapshot) {
        if (fleet == null) firstFleetMillis = clock.nowMillis()
        fleet = snapshot
        stored = snapshot.rollouts.allowed
        for ((service, step) in snapshot.rollouts.steps) applyStep(service, step, snapshot.rollouts.orders[service])
        val active = rollouts.values.filterNot { it.step.phase.isFinal }
        counts.retain(active.mapTo(HashSet()) { it.step.tag })
        for ((service, endpoints) in snapshot.endpoints.values.groupBy { it.service }) {
            onEndpoints(service, endpoints, snapshot.rollouts.orders[service])
        }
    }

    private fun applyStep(
        service: ServiceName,
        step: RolloutStep,
        order: StoredOrder?,
    ) {
        val known = rollouts[service]
        when {
            known == null -> rollouts[service] = rollout(step)
            known.step.isSameRollout(step) -> {
                val isLater = step.phase > known.step.phase && !known.step.phase.isFinal
                if (isLater) known.update(step)
            }
            known.step.supersedes(step.order) -> Unit
            // A restored store may show an earlier rollout than that of the order, or an earlier order.
            step.supersedes(known.step.order) || order == null || !known.step.belongsTo(order) ->
                rollouts[service] = rollout(step)
        }
    }

    /** Returns the order in force, which is not the stored one if the rollout's order has replaced that. */
    private fun orderOf(
        service: ServiceName,
        snapshot: FleetSnapshot,
    ): StoredOrder? {
        val order = snapshot.rollouts.orders[service] ?: return null
        val step = rollouts[service]?.step?.takeIf { it.supersedes(order.id) } ?: return order
        return StoredOrder(RolloutOrder(service, step.target, step.durationMillis), step.orderRevision)
    }

    private fun rollout(step: RolloutStep): ServiceRollout {
        val now = unixMillis()
        // An instance that starts within a rollout must not add to the slack with each start.
        val isNew = now - step.startUnixMillis < NEW_ROLLOUT_MILLIS
        val bonus = if (isNew) exposeSlack * SLACK_USED / instances().coerceAtLeast(1) else 0.0
        return ServiceRollout(step, ExposureCredit(random.nextDouble() + bonus.coerceAtMost(1.0)), now)
    }

    private fun onEndpoints(
        service: ServiceName,
        endpoints: List<EndpointEntry>,
        order: StoredOrder?,
    ) {
        val rollout = rollouts[service]
        if (rollout == null) {
            val present = endpoints.mapNotNullTo(LinkedHashSet()) { it.software } - setOfNotNull(order?.order?.target)
            val holdMillis = if (isWarm()) HOLD_BACK_MILLIS else 0
            val from = unordered.getOrPut(service) { HashMap() }
            from.keys.retainAll(present)
            for (version in present) from.putIfAbsent(version, clock.nowMillis() + holdMillis)
        }
        val allowed = allowedVersions(service)
        if (endpoints.any { it.software == null || it.software in allowed }) {
            absentSinceMillis -= service
        } else {
            absentSinceMillis.putIfAbsent(service, clock.nowMillis())
        }
        val usable = endpoints.filterNot { it.leaving }
        if (rollout != null) {
            val old = usable.filter { rollout.isOld(it) }.sumOf { it.slots }
            val target = usable.filter { it.software == rollout.step.target }.sumOf { it.slots }
            rollout.slotRatio = if (old == 0) 1.0 else minOf(1.0, target.toDouble() / old)
        }
    }

    private fun ServiceRollout.isOld(endpoint: EndpointEntry) =
        endpoint.software == null || endpoint.software in step.old

    /** Returns the versions that may serve, including the target of a rollout that runs. */
    private fun allowedVersions(service: ServiceName): Set<SoftwareVersion> {
        val step = rollouts[service]?.applied ?: return versionsWithoutOrder(service)
        return when (step.phase) {
            RolloutPhase.ROLLED_BACK -> step.old
            RolloutPhase.COMPLETED -> setOf(step.target)
            else -> step.old + step.target
        }
    }

    private fun versionsWithoutOrder(service: ServiceName): Set<SoftwareVersion> {
        val now = clock.nowMillis()
        val versions = stored[service].orEmpty() + unordered[service].orEmpty().filterValues { it <= now }.keys
        val target =
            fleet
                ?.rollouts
                ?.orders
                ?.get(service)
                ?.order
                ?.target ?: return versions
        // The target of an order waits for the first step, also if it served before.
        return (versions - target).ifEmpty { versions }
    }

    @Synchronized
    private fun accepting(
        service: ServiceName,
        continuesStream: Boolean,
    ): (EndpointEntry) -> Boolean {
        val lacksAllowed = lacksAllowed(service)
        val rollout = rollouts[service]
        if (rollout == null) {
            val allowed = versionsWithoutOrder(service)
            return { lacksAllowed || it.software == null || it.software in allowed }
        }
        val step = rollout.applied
        val isDue = rollout.isDue
        return { step.mayServe(it.software, continuesStream, isDue) || (lacksAllowed && it.software != step.target) }
    }

    /** Without an endpoint of an allowed version for some time, others serve, except a target that was rolled back. */
    private fun lacksAllowed(service: ServiceName): Boolean =
        absentSinceMillis[service]?.let { clock.nowMillis() - it >= ABSENCE_MILLIS } ?: false

    @Synchronized
    private fun preferring(service: ServiceName): ((EndpointEntry) -> Boolean)? {
        val target = rollouts[service]?.takeIf { it.isDue }?.step?.target ?: return null
        return { it.software == target }
    }

    /** A target that is slow must not lower the speed by which its own answers are judged. */
    @Synchronized
    private fun isReference(endpoint: EndpointEntry): Boolean {
        val step = rollouts[endpoint.service]?.step ?: return true
        return step.phase.isFinal || endpoint.software != step.target
    }

    @Synchronized
    private fun onPlaced(endpoint: EndpointEntry) {
        rollouts[endpoint.service]?.onPlaced(endpoint.software)
    }

    @Synchronized
    private fun onRejected(
        endpoint: EndpointEntry,
        wasSent: Boolean,
    ) {
        rollouts[endpoint.service]?.onRejected(endpoint.software, wasSent)
    }

    /** Counts the end of a send. */
    @Synchronized
    fun onAnswer(answer: VersionAnswer) {
        val rollout = rollouts[answer.service]?.takeUnless { it.step.phase.isFinal } ?: return
        val isTarget = answer.version == rollout.step.target
        val route = answer.route.value.hashCode()
        val tally = tally(answer, rollout.oldMean(route))
        counts.add(rollout.step.tag, route, isTarget, tally)
        // Twenty bad answers may come within less than the period of the checks.
        if (isTarget && tally.bad + tally.unclear > 0) check(rollout)
    }

    private fun tally(
        answer: VersionAnswer,
        oldMean: Double?,
    ): AnswerTally {
        if (answer.unclear) return AnswerTally(unclear = 1)
        val isSlow = oldMean != null && answer.comparedMillis > oldMean * SLOW_FACTOR
        return AnswerTally(1, if (answer.failed || isSlow) 1 else 0, answer.comparedMillis)
    }

    /** Returns the own totals for the digest. */
    @Synchronized
    fun tallies(): List<VersionTally> = counts.ownTallies()

    @Synchronized
    fun onDigest(digest: InstanceDigest) {
        contact.onDigest(digest.instance, clock.nowMillis())
        counts.onDigest(digest)
    }

    /** Whether this instance hears enough peers to hold the lease. */
    @get:Synchronized
    val hearsPeers: Boolean
        get() = contact.isSufficient(instances(), clock.nowMillis())

    /** Judges the evidence that this instance knows. Must be called several times a second. */
    @Synchronized
    fun check() {
        rollouts.values.filterNot { it.step.phase.isFinal }.forEach(::check)
    }

    private fun check(rollout: ServiceRollout) {
        val step = rollout.step
        if (!rollout.observe(counts.evidence(step.tag), unixMillis())) return
        logger.warn {
            "version-rollout: stopped here service=${step.service} target=${step.target} phase=${step.phase} " +
                rollout.describe()
        }
    }

    /** Returns what this instance knows of the rollouts that run. */
    @Synchronized
    fun figures(): List<RolloutFigures> {
        val now = unixMillis()
        return rollouts.values.filterNot { it.step.phase.isFinal }.map {
            val step = it.step
            RolloutFigures(
                service = step.service,
                target = step.target,
                phase = step.phase,
                share = if (it.isStopped) 0.0 else it.share,
                ageMillis = now - step.startUnixMillis,
                phaseAgeMillis = now - step.phaseUnixMillis,
                stoppedHere = it.isStopped,
                evidence = it.describe(),
            )
        }
    }

    /** Describes the evidence on a service for the log. */
    @Synchronized
    fun describe(service: ServiceName): String = rollouts[service]?.describe() ?: "no evidence"

    /**
     * Returns the steps that the lease holder writes next: those in force, new ones for new orders, and next phases.
     * [runningAt] returns the calls that run or wait at an endpoint. It is called without a lock.
     */
    fun nextSteps(runningAt: (EndpointId) -> Int): Map<ServiceName, RolloutStep> {
        val endpoints = fleetSnapshot()?.endpoints?.values.orEmpty()
        val running = endpoints.filter { isInRollout(it.service) }.associate { it.id to runningAt(it.id) }
        return nextSteps(running)
    }

    @Synchronized
    private fun fleetSnapshot() = fleet

    @Synchronized
    private fun isInRollout(service: ServiceName) = rollouts[service]?.step?.phase?.isFinal == false

    @Synchronized
    private fun nextSteps(running: Map<EndpointId, Int>): Map<ServiceName, RolloutStep> {
        val snapshot = fleet ?: return emptyMap()
        val orders = snapshot.rollouts.orders
        return (orders.keys + rollouts.keys)
            .filter { it in rollouts || isKnown(it, snapshot) }
            .associateWith { nextStep(it, orderOf(it, snapshot), snapshot, running) }
    }

    /** Whether the versions before an order are known. After a start of everything, its endpoints register later. */
    private fun isKnown(
        service: ServiceName,
        snapshot: FleetSnapshot,
    ): Boolean =
        allowedVersions(service).isNotEmpty() ||
            lacksAllowed(service) ||
            snapshot.endpoints.values.any { it.service == service && it.software == null }

    private fun nextStep(
        service: ServiceName,
        order: StoredOrder?,
        snapshot: FleetSnapshot,
        running: Map<EndpointId, Int>,
    ): RolloutStep {
        val now = unixMillis()
        val rollout = rollouts[service]
        val step = rollout?.step
        return when {
            rollout == null || step == null -> firstStep(checkNotNull(order), now)
            order != null && !step.belongsTo(order) -> firstStep(order, now)
            step.phase.isFinal -> step
            // The order was withdrawn.
            order == null -> step.advance(RolloutPhase.ROLLED_BACK, now)
            hearsPeers && (rollout.isStopped || mustStopAlone(rollout.evidence)) ->
                step.advance(RolloutPhase.ROLLED_BACK, now)
            else -> nextPhase(step, facts(rollout, snapshot, running), now)?.let { step.advance(it, now) } ?: step
        }
    }

    private fun RolloutStep.belongsTo(order: StoredOrder) = this.order == order.id

    private fun firstStep(
        order: StoredOrder,
        now: Long,
    ): RolloutStep {
        val (service, target, duration) = order.order
        val before = rollouts[service]?.step
        val allowed = if (before?.phase?.isFinal == false) before.old else allowedVersions(service)
        val first =
            RolloutStep(
                service = service,
                target = target,
                orderRevision = order.revision,
                old = allowed - target,
                startUnixMillis = now,
                deadlineUnixMillis = now + duration,
                phase = RolloutPhase.CANARY,
                phaseUnixMillis = now,
                shareThousandths = (exposeShare * SHARE_USED * 1_000).toInt(),
                superseded = before?.supersededByNext().orEmpty() - order.id,
            )
        val nothingToMove = first.old.isEmpty() && (target in allowed || lacksAllowed(service))
        return if (nothingToMove) first.advance(RolloutPhase.COMPLETED, now) else first
    }

    private fun facts(
        rollout: ServiceRollout,
        snapshot: FleetSnapshot,
        running: Map<EndpointId, Int>,
    ): StepFacts {
        val endpoints = snapshot.endpoints.values.filter { it.service == rollout.step.service }
        val (old, others) = endpoints.partition { rollout.isOld(it) }
        val verdicts = rollout.verdicts()
        return StepFacts(
            sinceOrder = verdicts.sinceOrder,
            sincePhase = verdicts.sincePhase,
            recent = verdicts.recent,
            targetSlots = others.filter { it.software == rollout.step.target && !it.leaving }.sumOf { it.slots },
            oldSlots = old.filterNot { it.leaving }.sumOf { it.slots },
            oldRunning = old.sumOf { running[it.id] ?: 0 },
            targetAnswers =
                rollout.evidence
                    .total()
                    .target.answers,
            hearsPeers = hearsPeers,
        )
    }

    private companion object {
        /** Part of the exposure limit that the first phase uses. */
        const val SHARE_USED = 0.5

        /** Part of the slack that instances use, so that services with few calls get a verdict. */
        const val SLACK_USED = 0.2
        const val NEW_ROLLOUT_MILLIS = 5_000L
        const val SLOW_FACTOR = 3.0

        /** Time in which endpoints that run have registered after a start of everything. */
        const val WARM_UP_MILLIS = 10_000L

        /**
         * Versions may serve side by side without an order, but the endpoints of an order's target may register before
         * the order is known.
         */
        const val HOLD_BACK_MILLIS = 5_000L

        /** Exceeds the time in which endpoints write their items again after an outage of the store. */
        const val ABSENCE_MILLIS = 10_000L
    }
}
