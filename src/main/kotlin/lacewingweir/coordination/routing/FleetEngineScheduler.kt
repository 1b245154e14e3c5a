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
 * Requests wait in one [FairQueue] per model until an engine has capacity. The [policy] then chooses among the engines
 * with capacity. All state is local and not shared between instances; after a restart, placement relies on rendezvous
 * hashing until the caches of the engines are known again. One lock guards the state. It is held for one decision at a
 * time and never across a suspension point.
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
    private val dispatchTimer: Subscription =
        timers.every("scheduler", DISPATCH_PERIOD_MILLIS, jitter = 0.0) {
            dispatchAll()
        }

    private class Waiter(
        val request: ScheduleRequest,
    ) {
        val result = CompletableDeferred<ScheduleResult>()
    }

    override suspend fun schedule(request: ScheduleRequest): ScheduleResult {
        updateRetryBudget(request)?.let { return it }
        if (request.attempt > 0) delay(backoff.delayMillis(request.attempt, random))
        val waiter = Waiter(request)
        enqueue(waiter)?.let { return it }
        return awaitGrant(waiter)
    }

    private fun updateRetryBudget(request: ScheduleRequest): ScheduleResult.Refused? =
        synchronized(lock) {
            val now = clock.nowMillis()
            if (request.attempt == 0) {
                retryBudget = retryBudget.onRequest(now)
                return null
            }
            val remaining = retryBudget.tryRetry(now)
            if (remaining == null) {
                metrics.refused.labelValues("retry-budget").inc()
                return ScheduleResult.Refused(RETRY_AFTER_BUDGET_MILLIS, "retry budget is spent")
            }
            metrics.retries.inc()
            retryBudget = remaining
            null
        }

    private fun enqueue(waiter: Waiter): ScheduleResult.Refused? {
        val request = waiter.request
        synchronized(lock) {
            val now = clock.nowMillis()
            val bundle = bundles.current() ?: return refuse("no-bundle", "no bundle is in force")
            if (engines.candidates(bundle, request, now).isEmpty()) {
                return refuse("no-engine", "no engine serves the model now")
            }
            val queue = queues.getOrPut(request.model.name) { FairQueue() }
            val wait = expectedWaitMillis(bundle, queue, request, now)
            if (now + wait > request.deadlineMillis) {
                metrics.refused.labelValues("deadline").inc()
                return ScheduleResult.Refused(wait.toLong().coerceAtLeast(MIN_RETRY_AFTER_MILLIS), "queue is too long")
            }
            val weight = bundle.customer(request.customer)?.weight ?: 1
            queue.add(waiter, request.trafficClass, request.customer, weight, costTokens(request))
        }
        dispatch(request.model.name)
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
        val queuedAtMillis = clock.nowMillis()
        val maxWaitMillis = (waiter.request.deadlineMillis - queuedAtMillis).coerceAtLeast(1)
        var delivered = false
        try {
            val result = withTimeoutOrNull(maxWaitMillis) { waiter.result.await() } ?: refuseAfterDeadline(waiter)
            delivered = true
            metrics.queueSeconds
                .labelValues(
                    waiter.request.trafficClass.name
                        .lowercase(),
                ).observe((clock.nowMillis() - queuedAtMillis) / MILLIS_PER_SECOND)
            return result
        } finally {
            if (!delivered) releaseCancelled(waiter)
        }
    }

    /** Refuses a request whose deadline has passed, unless an engine has been granted in the meantime. */
    private suspend fun refuseAfterDeadline(waiter: Waiter): ScheduleResult {
        val removed = synchronized(lock) { queues[waiter.request.model.name]?.remove(waiter) ?: false }
        if (!removed) return waiter.result.await()
        metrics.refused.labelValues("deadline").inc()
        return ScheduleResult.Refused(RETRY_AFTER_DEADLINE_MILLIS, "no engine had room before the deadline")
    }

    /** Removes a cancelled request from the queue, or finishes its lease if an engine was already granted. */
    private fun releaseCancelled(waiter: Waiter) {
        val removed = synchronized(lock) { queues[waiter.request.model.name]?.remove(waiter) ?: false }
        if (removed) return
        waiter.result.invokeOnCompletion {
            val granted = waiter.result.getCompleted() as? ScheduleResult.Granted
            granted?.lease?.finish(AttemptOutcome.CANCELLED)
        }
    }

    /**
     * Returns the cost of [request] in the fair queue, in tokens. Prompt tokens count less than generated tokens, which
     * occupy an engine longer than a cached prompt.
     */
    private fun costTokens(request: ScheduleRequest): Long =
        request.promptTokens / PROMPT_COST_DIVISOR + request.maxAnswerTokens

    private fun expectedWaitMillis(
        bundle: Bundle,
        queue: FairQueue<Waiter>,
        request: ScheduleRequest,
        nowMillis: Long,
    ): Double {
        if (queue.size == 0) return 0.0
        val serving = engines.candidates(bundle, request, nowMillis)
        val slots = serving.sumOf { it.slots }.coerceAtLeast(1)
        return queue.size * ESTIMATED_SERVICE_MILLIS / slots
    }

    private suspend fun dispatchAll() {
        val models = synchronized(lock) { queues.filterValues { it.size > 0 }.keys.toList() }
        models.forEach(::dispatch)
    }

    /** Grants engines to the waiting requests of [model] in fair order until no further request can be placed. */
    private fun dispatch(model: ModelName) {
        while (true) {
            val (waiter, lease) = synchronized(lock) { pollDispatchable(model) } ?: return
            val completed = waiter.result.complete(ScheduleResult.Granted(lease))
            check(completed) { "request was granted two engines" }
        }
    }

    private fun pollDispatchable(model: ModelName): Pair<Waiter, GrantedLease>? {
        val queue = queues[model] ?: return null
        val bundle = bundles.current() ?: return null
        val now = clock.nowMillis()
        var chosen: Endpoint? = null
        // Capacity doesn't depend on the prompt, so requests with the same requirement are checked once per pass.
        val withoutCapacity = HashSet<CapacityRequirement>()
        val waiter =
            queue.pollFirst { candidate ->
                val request = candidate.request
                val knownFull = CapacityRequirement.of(request) in withoutCapacity
                chosen = if (knownFull) null else choose(bundle, request, now, withoutCapacity)
                chosen != null
            } ?: return null
        return waiter to grantLease(checkNotNull(chosen), waiter.request, now)
    }

    /** The properties of a request that determine which engines have capacity for it. */
    private data class CapacityRequirement(
        val trafficClass: TrafficClass,
        val weights: WeightsVersion,
        val excluded: Set<EndpointId>,
    ) {
        companion object {
            fun of(request: ScheduleRequest): CapacityRequirement =
                CapacityRequirement(request.trafficClass, request.model.weights, request.excluded)
        }
    }

    private fun choose(
        bundle: Bundle,
        request: ScheduleRequest,
        nowMillis: Long,
        withoutCapacity: MutableSet<CapacityRequirement>,
    ): Endpoint? {
        // Early in a rollout no engine may serve the weights yet. The request then waits until one may be tried again.
        val usable =
            engines
                .candidates(bundle, request, nowMillis)
                .filter { !engines.record(it.id).isNotServing(request.model.weights, nowMillis) }
        if (usable.isEmpty()) return null
        val maxBacklogMillis = EngineWaitLimits.maxBacklogMillis(request.trafficClass)
        val snapshots: List<EngineSnapshot> =
            usable.map { engines.record(it.id).snapshot(it, request.prefix, maxBacklogMillis, nowMillis) }
        if (snapshots.none { it.hasCapacity }) {
            withoutCapacity += CapacityRequirement.of(request)
            return null
        }
        val id = policy(PlacementQuery(request.prefix, request.promptTokens), snapshots, random) ?: return null
        return usable.first { it.id == id }
    }

    private fun grantLease(
        endpoint: Endpoint,
        request: ScheduleRequest,
        nowMillis: Long,
    ): GrantedLease {
        val record = engines.record(endpoint.id)
        val uncachedTokens =
            (request.promptTokens - record.knownPrefixes.expectedTokens(request.prefix, nowMillis)).coerceAtLeast(0.0)
        val backlogTokens = record.estimate.backlogTokensAt(nowMillis)
        val idle = backlogTokens <= 0.0
        val expectedMillis = (backlogTokens + uncachedTokens) * record.estimate.prefillMillisPerToken
        record.estimate = record.estimate.sent(uncachedTokens)
        metrics.granted.inc()
        val timeoutMillis = EngineWaitLimits.firstTokenTimeoutMillis(request.trafficClass, expectedMillis)
        return GrantedLease(endpoint, request, uncachedTokens, idle, nowMillis, timeoutMillis)
    }

    /** Returns the endpoints that this instance has ejected now, for `fleet status`. Other instances may differ. */
    public fun ejectedEndpoints(): List<EndpointId> =
        synchronized(lock) {
            engines.ejected(clock.nowMillis())
        }

    override fun close() {
        dispatchTimer.cancel()
    }

    private inner class GrantedLease(
        override val endpoint: Endpoint,
        private val request: ScheduleRequest,
        private val expectedUncachedTokens: Double,
        private val wasIdle: Boolean,
        private val sentAtMillis: Long,
        override val firstTokenTimeoutMillis: Long,
    ) : EngineLease {
        private var prefillDone = false
        private var prefillMillis = 0L
        private var pieceAgesBefore: List<Long?> = emptyList()
        private var cacheUseLearned = false
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
                if (leaving) record.leavingUntilMillis = now + LEAVING_VALIDITY_MILLIS
                if (load != null) {
                    record.estimate = record.estimate.reported(load.running + load.waiting, load.prefillTokens, now)
                }
            }
            dispatch(request.model.name)
        }

        override fun firstToken(cachedTokens: Long?) {
            synchronized(lock) { onPrefillEnd(clock.nowMillis(), cachedTokens) }
            dispatch(request.model.name)
        }

        private fun onPrefillEnd(
            nowMillis: Long,
            cachedTokens: Long?,
        ) {
            if (prefillDone) return
            prefillDone = true
            val record = engines.record(endpoint.id)
            record.estimate = record.estimate.firstToken(expectedUncachedTokens)
            prefillMillis = nowMillis - sentAtMillis
            pieceAgesBefore = record.knownPrefixes.ages(request.prefix, nowMillis)
            record.knownPrefixes.recordAnswer(request.prefix, null, nowMillis)
            if (cachedTokens != null) learnCacheUse(record, cachedTokens)
        }

        /** Updates the estimates with [cachedTokens], which engines report with the first token or at the end. */
        private fun learnCacheUse(
            record: EngineRecord,
            cachedTokens: Long,
        ) {
            if (cacheUseLearned || pieceAgesBefore.isEmpty()) return
            cacheUseLearned = true
            record.knownPrefixes.learnRetention(request.prefix.pieceTokens, pieceAgesBefore, cachedTokens)
            val uncachedTokens = (request.promptTokens - cachedTokens).toDouble()
            record.estimate = record.estimate.uncachedTokensObserved(uncachedTokens, request.promptTokens)
            if (!wasIdle) return
            record.estimate = record.estimate.prefillObserved(uncachedTokens, prefillMillis.toDouble())
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
                    record.estimate = record.estimate.firstToken(expectedUncachedTokens)
                }
                record.estimate = record.estimate.finished()
                record.health = healthAfter(record.health, outcome, now)
                if (outcome == AttemptOutcome.NOT_SERVING) record.markNotServing(request.model.weights, now)
                if (cachedTokens != null) {
                    recordCacheUse(cachedTokens)
                    learnCacheUse(record, cachedTokens)
                }
            }
            metrics.attempts.labelValues(outcome.name.lowercase()).inc()
            dispatch(request.model.name)
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
        const val DISPATCH_PERIOD_MILLIS: Long = 20
        const val MILLIS_PER_SECOND: Double = 1_000.0

        const val LEAVING_VALIDITY_MILLIS: Long = 10_000
        const val PROMPT_COST_DIVISOR: Long = 10
        const val ESTIMATED_SERVICE_MILLIS: Double = 1_000.0

        const val MIN_RETRY_AFTER_MILLIS: Long = 1_000
        const val RETRY_AFTER_NO_ENGINE_MILLIS: Long = 2_000
        const val RETRY_AFTER_BUDGET_MILLIS: Long = 2_000
        const val RETRY_AFTER_DEADLINE_MILLIS: Long = 1_000
    }
}
