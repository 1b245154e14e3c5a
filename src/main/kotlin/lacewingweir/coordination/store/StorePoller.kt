package lacewingweir.coordination.store

import io.github.oshai.kotlinlogging.KotlinLogging
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry
import lacewingweir.coordination.time.Subscription
import lacewingweir.coordination.time.TimerService
import lacewingweir.state.time.MonotonicClock
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

/**
 * Polls the store for changes under [prefix] and passes changed entries to handlers.
 *
 * The interval between the starts of two polls is [PERIOD_MILLIS], or [FAST_PERIOD_MILLIS] while [changePending] is
 * true. While polls fail, the interval doubles from [FAST_PERIOD_MILLIS] up to [MAX_BACKOFF_MILLIS]. If a poll returns
 * a lower revision than the previous one, the store was restored from an older copy, and the whole prefix is read
 * again.
 *
 * Handlers run on the polling coroutine and must not block. An entry may be passed to them more than once.
 */
public class StorePoller(
    private val store: ConfigStore,
    private val timers: TimerService,
    private val clock: MonotonicClock,
    private val changePending: () -> Boolean = { false },
    registry: PrometheusRegistry = PrometheusRegistry.defaultRegistry,
    private val random: Random = Random.Default,
    private val prefix: String = "/lw/",
) {
    private val polls =
        Counter
            .builder()
            .name(
                "store_polls",
            ).help("Polls of the store by result.")
            .labelNames("result")
            .register(registry)
    private val regressions =
        Counter
            .builder()
            .name("store_regressions")
            .help("Polls that returned a lower revision than the previous one.")
            .register(registry)
    private val revisionGauge =
        Gauge
            .builder()
            .name("store_revision")
            .help("Revision of the last successful poll.")
            .register(registry)

    private val entryHandlers = CopyOnWriteArrayList<(StoreEntry) -> Unit>()
    private val successHandlers = CopyOnWriteArrayList<(Long) -> Unit>()
    private val regressionHandlers = CopyOnWriteArrayList<() -> Unit>()

    @Volatile
    private var lastRevision = 0L

    @Volatile
    private var failureCount = 0

    @Volatile
    private var nextPoll: Subscription? = null

    @Volatile
    private var stopped = true

    /** Whether the last poll failed. True before the first poll. */
    @Volatile
    public var storeUnreachable: Boolean = true
        private set

    /** Registers [handler] to be called for every entry that is new or changed since the previous poll. */
    public fun onEntry(handler: (StoreEntry) -> Unit) {
        entryHandlers.add(handler)
    }

    /**
     * Registers [handler] to be called with the poll's send time after each successful poll, once its entries have been
     * passed to the entry handlers.
     */
    public fun onSuccess(handler: (sentAtMillis: Long) -> Unit) {
        successHandlers.add(handler)
    }

    /** Registers [handler] to be called before the entries of a restored store are passed to the entry handlers. */
    public fun onRegression(handler: () -> Unit) {
        regressionHandlers.add(handler)
    }

    /** Polls immediately and then periodically until the returned subscription is cancelled. */
    public fun start(): Subscription {
        stopped = false
        schedule(0)
        return Subscription {
            stopped = true
            nextPoll?.cancel()
        }
    }

    /** Polls once and returns whether the poll succeeded. Calls must not overlap. */
    public suspend fun poll(): Boolean {
        val sentAt = clock.nowMillis()
        val result = store.list(prefix, lastRevision)
        val listing =
            when {
                result is StoreResult.Ok && result.value.revision < lastRevision -> readAllAfterRegression()
                result is StoreResult.Ok -> result.value
                else -> null.also { logFailure(result) }
            }
        if (listing == null) {
            failureCount++
            storeUnreachable = true
            polls.labelValues("failed").inc()
            return false
        }
        if (storeUnreachable) logger.info { "store: reachable at revision ${listing.revision}" }
        failureCount = 0
        storeUnreachable = false
        polls.labelValues("ok").inc()
        revisionGauge.set(listing.revision.toDouble())
        for (entry in listing.entries) entryHandlers.forEach { it(entry) }
        lastRevision = listing.revision
        successHandlers.forEach { it(sentAt) }
        return true
    }

    private suspend fun readAllAfterRegression(): StoreListing? {
        val fullResult = store.list(prefix, 0)
        if (fullResult !is StoreResult.Ok) return null.also { logFailure(fullResult) }
        logger.warn { "store: revision fell from $lastRevision to ${fullResult.value.revision}; read everything again" }
        regressions.inc()
        regressionHandlers.forEach { it() }
        return fullResult.value
    }

    private fun logFailure(result: StoreResult<*>) {
        if (!storeUnreachable) logger.warn { "store: poll failed: $result" }
    }

    private fun schedule(delayMillis: Long) {
        if (stopped) return
        nextPoll =
            timers.after("store poll", delayMillis) {
                val sentAt = clock.nowMillis()
                try {
                    poll()
                } finally {
                    schedule((sentAt + periodMillis() - clock.nowMillis()).coerceAtLeast(0))
                }
            }
    }

    private fun periodMillis(): Long {
        val period =
            when {
                failureCount > 0 -> (FAST_PERIOD_MILLIS shl (failureCount - 1).coerceAtMost(MAX_DOUBLINGS))
                changePending() -> FAST_PERIOD_MILLIS
                else -> PERIOD_MILLIS
            }
        return (period.coerceAtMost(MAX_BACKOFF_MILLIS) * random.nextDouble(1 - JITTER, 1 + JITTER)).toLong()
    }

    public companion object {
        /** Interval between polls when no change is pending. */
        public const val PERIOD_MILLIS: Long = 1_000

        /** Interval between polls while a change is pending, and after a first failure. */
        public const val FAST_PERIOD_MILLIS: Long = 500

        /** Maximum interval between polls while the store fails. */
        public const val MAX_BACKOFF_MILLIS: Long = 4_000

        private const val MAX_DOUBLINGS: Int = 8

        /** Relative variation of the interval, so that instances started together poll at different times. */
        private const val JITTER: Double = 0.1
    }
}
