package lacewingweir.coordination.routing

import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import lacewingweir.coordination.bundle.BundleSource
import lacewingweir.coordination.time.Subscription
import lacewingweir.coordination.time.TimerService
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.bundle.TrafficClass
import lacewingweir.state.fairness.FairQueue
import lacewingweir.state.health.EndpointHealth
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.Incarnation
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.WeightsVersion
import lacewingweir.state.placement.EngineSnapshot
import lacewingweir.state.placement.PlacementPolicy
import lacewingweir.state.placement.PlacementQuery
import lacewingweir.state.placement.prefixAwarePlacement
import lacewingweir.state.retry.Backoff
import lacewingweir.state.retry.RetryBudget
import lacewingweir.state.time.MonotonicClock
import kotlin.random.Random

/**
 * The [EngineScheduler] of one instance.
 *
 * Requests wait in a [FairQueue] for each model until an engine has capacity, and the [policy] chooses among those.
 * All knowledge is local: nothing is shared between instances, and a restarted instance places well by rendezvous
 * hashing alone. State is guarded by one lock that is held for one decision and never across a suspension.
 */
public class FleetEngineScheduler(
    private val bundles: BundleSource,
    private val clock: MonotonicClock,
    timers: TimerService,
    leaving: LeavingEndpoints = LeavingEndpoints { false },
    private val policy: PlacementPolicy = ::prefixAwarePlacement,
    private val random: Random = Random.Default,
    private val backoff: Backoff = Backoff(),
    registry: PrometheusRegistry = PrometheusRegistry(),
) : EngineScheduler,
    AutoCloseable {
    private val lock = Any()
    private val engines = EngineTable(bundles, leaving)
    private val queues = HashMap<ModelName, FairQueue<Waiter>>()
    private var retryBudget = RetryBudget()
    private val metrics = RoutingMetrics(registry)
    private val pumping: Subscription = timers.every("scheduler", PUMP_PERIOD_MILLIS, jitter = 0.0) { pumpAll() }

    private class Waiter(
        val request: ScheduleRequest,
    ) {
        val result = CompletableDeferred<ScheduleResult>()
    }

    override suspend fun schedule(request: ScheduleRequest): ScheduleResult {
        retryRefusal(request)?.let { return it }
        if (request.attempt > 0) delay(backoff.delayMillis(request.attempt, random))
        val waiter = Waiter(request)
        enqueue(waiter)?.let { return it }
        return awaitGrant(waiter)
    }

    private fun retryRefusal(request: ScheduleRequest): ScheduleResult.Refused? =
        synchronized(lock) {
            val now = clock.nowMillis()
            if (request.attempt == 0) {
                retryBudget = retryBudget.onRequest(now)
                return null
            }
            val spent = retryBudget.tryRetry(now)
            if (spent == null) {
                metrics.refused.labelValues("retry-budget").inc()
                return ScheduleResult.Refused(RETRY_AFTER_BUDGET_MILLIS, "retry budget is spent")
            }
            metrics.retries.inc()
            retryBudget = spent
            null
        }

    private fun enqueue(waiter: Waiter): ScheduleResult.Refused? {
        val request = waiter.request
        synchronized(lock) {
            val now = clock.nowMillis()
            val bundle = bundles.current() ?: return refuse("no-bundle", "no bundle is in force")
            if (engines
                    .candidates(
                        bundle,
                        request,
                        now,
                    ).isEmpty()
            ) {
                return refuse("no-engine", "no engine serves the model now")
            }
            val queue = queues.getOrPut(request.model.name) { FairQueue() }
            val wait = expectedWaitMillis(bundle, queue, request, now)
            if (now + wait > request.deadlineMillis) {
                metrics.refused.labelValues("deadline").inc()
                return ScheduleResult.Refused(wait.toLong().coerceAtLeast(MIN_RETRY_AFTER_MILLIS), "queue is too long")
            }
            val weight = bundle.customer(request.customer)?.weight ?: 1
            queue.add(waiter, request.trafficClass, request.customer, weight, cost(request))
        }
        pump(request.model.name)
        return null
    }

    private fun refuse(
        label: String,
        reason: String,
    ): ScheduleResult.Refused {
        metrics.refused.labelValues(label).inc()
        return ScheduleResult.Refused(RETRY_AFTER_NO_ENGINE_MILLIS, reason)
    }

    private suspend fun awaitGrant(waiter: Waiter): ScheduleResult {
        val queuedAt = clock.nowMillis()
        val patience = (waiter.request.deadlineMillis - queuedAt).coerceAtLeast(1)
        var delivered = false
        try {
            val result = withTimeoutOrNull(patience) { waiter.result.await() } ?: giveUp(waiter)
            delivered = true
            metrics.queueSeconds
                .labelValues(
                    waiter.request.trafficClass.name
                        .lowercase(),
                ).observe((clock.nowMillis() - queuedAt) / MILLIS_PER_SECOND)
            return result
        } finally {
            if (!delivered) abandon(waiter)
        }
    }

    /** Refuses a request whose deadline has passed, unless an engine was granted at the same moment. */
    private suspend fun giveUp(waiter: Waiter): ScheduleResult {
        val removed = synchronized(lock) { queues[waiter.request.model.name]?.remove(waiter) ?: false }
        if (!removed) return waiter.result.await()
        metrics.refused.labelValues("deadline").inc()
        return ScheduleResult.Refused(RETRY_AFTER_DEADLINE_MILLIS, "no engine had room before the deadline")
    }

    /** Gives back the place or the grant of a caller that was cancelled. */
    private fun abandon(waiter: Waiter) {
        val removed = synchronized(lock) { queues[waiter.request.model.name]?.remove(waiter) ?: false }
        if (removed) return
        waiter.result.invokeOnCompletion {
            val granted = waiter.result.getCompleted() as? ScheduleResult.Granted
            granted?.lease?.finish(AttemptOutcome.CANCELLED)
        }
    }

    /** Tokens that a request costs in fair queueing; generated tokens occupy an engine longer than cached prompt. */
    private fun cost(request: ScheduleRequest): Long =
        request.promptTokens / PROMPT_COST_DIVISOR + request.maxAnswerTokens

    private fun expectedWaitMillis(
        bundle: Bundle,
        queue: FairQueue<Waiter>,
        request: ScheduleRequest,
        nowMillis: Long,
    ): Double {
        if (queue.size == 0) return 0.0
        val served = engines.candidates(bundle, request, nowMillis)
        val slots = served.sumOf { it.slots }.coerceAtLeast(1)
        return queue.size * ESTIMATED_SERVICE_MILLIS / slots
    }

    private suspend fun pumpAll() {
        val models = synchronized(lock) { queues.filterValues { it.size > 0 }.keys.toList() }
        models.forEach(::pump)
    }

    /** Grants engines to waiting requests of [model] in fair order for as long as one fits. */
    private fun pump(model: ModelName) {
        while (true) {
            val (waiter, lease) = synchronized(lock) { takeNext(model) } ?: return
            val taken = waiter.result.complete(ScheduleResult.Granted(lease))
            check(taken) { "a request was granted two engines" }
        }
    }

    private fun takeNext(model: ModelName): Pair<Waiter, Lease>? {
        val queue = queues[model] ?: return null
        val bundle = bundles.current() ?: return null
        val now = clock.nowMillis()
        var chosen: Endpoint? = null
        // Whether an engine has capacity doesn't depend on the prompt, so it is found out once for equal needs.
        val withoutCapacity = HashSet<CapacityNeed>()
        val waiter =
            queue.pollFirst { candidate ->
                val request = candidate.request
                val full = CapacityNeed.of(request) in withoutCapacity
                chosen = if (full) null else choose(bundle, request, now, withoutCapacity)
                chosen != null
            } ?: return null
        return waiter to lend(checkNotNull(chosen), waiter.request, now)
    }

    /** What decides which engines have capacity for a request of a model. */
    private data class CapacityNeed(
        val trafficClass: TrafficClass,
        val weights: WeightsVersion,
        val excluded: Set<EndpointId>,
    ) {
        companion object {
            fun of(request: ScheduleRequest): CapacityNeed =
                CapacityNeed(request.trafficClass, request.model.weights, request.excluded)
        }
    }

    private fun choose(
        bundle: Bundle,
        request: ScheduleRequest,
        nowMillis: Long,
        withoutCapacity: MutableSet<CapacityNeed>,
    ): Endpoint? {
        // During a rollout no engine may have the weights yet; the request then waits until one may be tried again.
        val usable =
            engines
                .candidates(
                    bundle,
                    request,
                    nowMillis,
                ).filter { !engines.record(it.id).lacks(request.model.weights, nowMillis) }
        if (usable.isEmpty()) return null
        val maxWait = EngineWaits.maxBacklogMillis(request.trafficClass)
        val snapshots: List<EngineSnapshot> =
            usable.map { engines.record(it.id).snapshot(it, request.prefix, maxWait, nowMillis) }
        if (snapshots.none { it.hasCapacity }) {
            withoutCapacity += CapacityNeed.of(request)
            return null
        }
        val id = policy(PlacementQuery(request.prefix, request.promptTokens), snapshots, random) ?: return null
        return usable.first { it.id == id }
    }

    private fun lend(
        endpoint: Endpoint,
        request: ScheduleRequest,
        nowMillis: Long,
    ): Lease {
        val record = engines.record(endpoint.id)
        val missed = (request.promptTokens - record.known.expectedTokens(request.prefix, nowMillis)).coerceAtLeast(0.0)
        val backlog = record.estimate.backlogTokensAt(nowMillis)
        val alone = backlog <= 0.0
        val expectedMillis = (backlog + missed) * record.estimate.prefillMillisPerToken
        record.estimate = record.estimate.sent(missed)
        metrics.granted.inc()
        val limit = EngineWaits.firstTokenTimeoutMillis(request.trafficClass, expectedMillis)
        return Lease(endpoint, request, missed, alone, nowMillis, limit)
    }

    /** The instances' health view for `fleet status`: endpoints that are ejected now. Local to this instance. */
    public fun ejectedEndpoints(): List<EndpointId> =
        synchronized(lock) {
            engines.ejected(clock.nowMillis())
        }

    override fun close() {
        pumping.cancel()
    }

    private inner class Lease(
        override val endpoint: Endpoint,
        private val request: ScheduleRequest,
        private val expectedMissedTokens: Double,
        private val wasAlone: Boolean,
        private val sentAtMillis: Long,
        override val firstTokenTimeoutMillis: Long,
    ) : EngineLease {
        private var prefillDone = false
        private var prefillMillis = 0L
        private var agesBefore: List<Long?> = emptyList()
        private var learned = false
        private var finished = false

        override fun responseHead(
            incarnation: Incarnation,
            load: EngineLoad?,
            leaving: Boolean,
        ) {
            synchronized(lock) {
                val now = clock.nowMillis()
                val record = engines.record(endpoint.id)
                record.onIncarnation(incarnation)
                if (leaving) record.leavingUntilMillis = now + LEAVING_REPORT_MILLIS
                if (load != null) {
                    record.estimate = record.estimate.reported(load.running + load.waiting, load.prefillTokens, now)
                }
            }
            pump(request.model.name)
        }

        override fun firstToken(cachedTokens: Long?) {
            synchronized(lock) { prefillEnded(clock.nowMillis(), cachedTokens) }
            pump(request.model.name)
        }

        private fun prefillEnded(
            nowMillis: Long,
            cachedTokens: Long?,
        ) {
            if (prefillDone) return
            prefillDone = true
            val record = engines.record(endpoint.id)
            record.estimate = record.estimate.firstToken(expectedMissedTokens)
            prefillMillis = nowMillis - sentAtMillis
            agesBefore = record.known.ages(request.prefix, nowMillis)
            record.known.recordAnswer(request.prefix, null, nowMillis)
            if (cachedTokens != null) learn(record, cachedTokens)
        }

        /** Learns from the number of cached tokens, which engines tell with the first token or at the end. */
        private fun learn(
            record: EngineRecord,
            cachedTokens: Long,
        ) {
            if (learned || agesBefore.isEmpty()) return
            learned = true
            record.known.learnRetention(request.prefix.pieceTokens, agesBefore, cachedTokens)
            val computed = (request.promptTokens - cachedTokens).toDouble()
            record.estimate = record.estimate.missObserved(computed, request.promptTokens)
            if (!wasAlone) return
            record.estimate = record.estimate.prefillObserved(computed, prefillMillis.toDouble())
        }

        override fun finish(
            outcome: AttemptOutcome,
            cachedTokens: Long?,
        ) {
            synchronized(lock) {
                if (finished) return
                finished = true
                val now = clock.nowMillis()
                val record = engines.record(endpoint.id)
                if (!prefillDone) {
                    prefillDone = true
                    record.estimate = record.estimate.firstToken(expectedMissedTokens)
                }
                record.estimate = record.estimate.finished()
                record.health = healthAfter(record.health, outcome, now)
                if (outcome == AttemptOutcome.NOT_SERVING) record.markNotServing(request.model.weights, now)
                if (cachedTokens != null) {
                    recordCacheUse(cachedTokens)
                    learn(record, cachedTokens)
                }
            }
            metrics.attempts.labelValues(outcome.name.lowercase()).inc()
            pump(request.model.name)
        }

        private fun recordCacheUse(cachedTokens: Long) {
            metrics.promptTokens.inc(request.promptTokens.toDouble())
            metrics.cachedTokens.inc(cachedTokens.toDouble())
        }
    }

    private fun healthAfter(
        health: EndpointHealth,
        outcome: AttemptOutcome,
        nowMillis: Long,
    ): EndpointHealth =
        when (outcome) {
            AttemptOutcome.COMPLETED -> health.onSuccess(nowMillis)
            AttemptOutcome.NOT_RUN, AttemptOutcome.FAILED -> health.onFailure(nowMillis)
            AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SERVING -> health
        }

    private companion object {
        const val PUMP_PERIOD_MILLIS: Long = 20
        const val MILLIS_PER_SECOND: Double = 1_000.0

        const val LEAVING_REPORT_MILLIS: Long = 10_000
        const val PROMPT_COST_DIVISOR: Long = 10
        const val ESTIMATED_SERVICE_MILLIS: Double = 1_000.0

        const val MIN_RETRY_AFTER_MILLIS: Long = 1_000
        const val RETRY_AFTER_NO_ENGINE_MILLIS: Long = 2_000
        const val RETRY_AFTER_BUDGET_MILLIS: Long = 2_000
        const val RETRY_AFTER_DEADLINE_MILLIS: Long = 1_000
    }
}
