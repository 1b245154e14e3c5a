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
 * Polls the store for everything under [prefix] that changed, and passes it on.
 *
 * Polls are [PERIOD_MILLIS] apart, or [FAST_PERIOD_MILLIS] while [changePending] is true, counted from send to
 * send. After failures the distance doubles up to [MAX_BACKOFF_MILLIS]. A poll that shows a lower revision than the
 * one before means that the store was restored from an older copy; then the whole prefix is read again.
 *
 * Handlers run on the polling coroutine and must not block. An entry may be handed over more than once.
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
            .help("Polls that showed a lower revision.")
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
    private var failures = 0

    @Volatile
    private var next: Subscription? = null

    @Volatile
    private var stopped = true

    /** Whether the last poll failed or none was made yet. */
    @Volatile
    public var storeUnreachable: Boolean = true
        private set

    /** Calls [handler] for every entry that is new or changed since the poll before. */
    public fun onEntry(handler: (StoreEntry) -> Unit) {
        entryHandlers.add(handler)
    }

    /** Calls [handler] after each successful poll, when its entries were handed over, with the poll's send time. */
    public fun onSuccess(handler: (sentAtMillis: Long) -> Unit) {
        successHandlers.add(handler)
    }

    /** Calls [handler] before the entries of a restored store are handed over. */
    public fun onRegression(handler: () -> Unit) {
        regressionHandlers.add(handler)
    }

    /** Polls at once and then periodically until the returned subscription is cancelled. */
    public fun start(): Subscription {
        stopped = false
        schedule(0)
        return Subscription {
            stopped = true
            next?.cancel()
        }
    }

    /** Polls once. Returns whether the store answered. Polls must not overlap. */
    public suspend fun poll(): Boolean {
        val sentAt = clock.nowMillis()
        val answer = store.list(prefix, lastRevision)
        val listing =
            when {
                answer is StoreResult.Ok && answer.value.revision < lastRevision -> readRestored()
                answer is StoreResult.Ok -> answer.value
                else -> null.also { logFailure(answer) }
            }
        if (listing == null) {
            failures++
            storeUnreachable = true
            polls.labelValues("failed").inc()
            return false
        }
        if (storeUnreachable) logger.info { "store: reachable at revision ${listing.revision}" }
        failures = 0
        storeUnreachable = false
        polls.labelValues("ok").inc()
        revisionGauge.set(listing.revision.toDouble())
        for (entry in listing.entries) entryHandlers.forEach { it(entry) }
        lastRevision = listing.revision
        successHandlers.forEach { it(sentAt) }
        return true
    }

    private suspend fun readRestored(): StoreListing? {
        val whole = store.list(prefix, 0)
        if (whole !is StoreResult.Ok) return null.also { logFailure(whole) }
        logger.warn { "store: revision fell from $lastRevision to ${whole.value.revision}; read everything again" }
        regressions.inc()
        regressionHandlers.forEach { it() }
        return whole.value
    }

    private fun logFailure(answer: StoreResult<*>) {
        if (!storeUnreachable) logger.warn { "store: poll failed: $answer" }
    }

    private fun schedule(delayMillis: Long) {
        if (stopped) return
        next =
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
                failures > 0 -> (FAST_PERIOD_MILLIS shl (failures - 1).coerceAtMost(MAX_DOUBLINGS))
                changePending() -> FAST_PERIOD_MILLIS
                else -> PERIOD_MILLIS
            }
        return (period.coerceAtMost(MAX_BACKOFF_MILLIS) * random.nextDouble(1 - JITTER, 1 + JITTER)).toLong()
    }

    public companion object {
        /** Distance of polls in ordinary times. */
        public const val PERIOD_MILLIS: Long = 1_000

        /** Distance of polls while a change is pending, and after a first failure. */
        public const val FAST_PERIOD_MILLIS: Long = 500

        /** Greatest distance of polls while the store fails. */
        public const val MAX_BACKOFF_MILLIS: Long = 4_000

        private const val MAX_DOUBLINGS: Int = 8

        /** Keeps instances that were started together from polling together. */
        private const val JITTER: Double = 0.1
    }
}
