package lacewingweir.platform

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger

/**
 * Calls of a [kind] by several callers at the same time, through a relay to [servers].
 *
 * @property callers the number of callers, each of which sends one call after the other
 * @property leastServedShare the share of the calls that don't fail that is expected to be served
 */
internal class CallerPlay(
    private val kind: String,
    private val servers: List<RawServer>,
    private val calls: Int = 400,
    private val callers: Int = 8,
    private val callerTimeoutMillis: Long = 2_000,
    private val leastServedShare: Double = 1.0,
) : AutoCloseable {
    private val relay =
        RelayFixture(repeatExtra = 100_000.0).also { it.configure("k1") }

    /** The successes that aren't those of their call. */
    private val wrong = CopyOnWriteArrayList<String>()
    private val statuses = ConcurrentHashMap<Int, AtomicInteger>()
    private val sound = AtomicInteger()

    /** The longest time until an answer, in milliseconds. */
    var longestMillis = 0L
        private set

    private val successes: Int
        get() = statuses.filterKeys { it in 200..299 }.values.sumOf { it.get() }

    /**
     * Sends all calls. [isFailing] tells whether every server fails the call with this id, and [served] is the body of
     * the success of the others. Expects that each caller gets its own success or a failure, and that no server
     * receives a call twice, unless it has [continued][continues] its stream.
     */
    fun run(
        isFailing: (id: String) -> Boolean,
        served: (id: String) -> String,
        continues: Boolean = false,
    ) {
        servers.forEachIndexed { i, server ->
            if (kind == "stream") {
                relay.registerEngine("i-$i", server.port)
            } else {
                relay.registerPlain("i-$i", server.port)
            }
        }
        // The fixture proves contact with the store only once.
        relay.limits = relay.limits.copy(maxKeyProofAgeMillis = Long.MAX_VALUE)
        val durations = CopyOnWriteArrayList<Long>()
        runBlocking {
            (1..callers)
                .map { caller ->
                    async {
                        repeat(calls / callers) {
                            val start = System.nanoTime()
                            call("%016x".format(caller * 1_000_000L + it), isFailing, served)
                            durations += (System.nanoTime() - start) / NANOS_PER_MILLI
                        }
                    }
                }.awaitAll()
        }
        longestMillis = durations.max()
        println("calls: kind=$kind wrong=${wrong.size} statuses=$statuses longestMs=$longestMillis")
        expectThat(wrong).isEmpty()
        expectThat(successes).isGreaterThanOrEqualTo((sound.get() * leastServedShare).toInt())
        if (!continues) expectThat(servers.sumOf { it.repeated }).isEqualTo(0)
    }

    private suspend fun call(
        id: String,
        isFailing: (id: String) -> Boolean,
        served: (id: String) -> String,
    ) {
        if (!isFailing(id)) sound.incrementAndGet()
        val prompt = listOf("Model" to "m", "Token-Counts" to "300,20", "Prompt-Prefix" to "$id:300")
        val answer =
            relay.call(
                kind,
                headers = if (kind == "stream") prompt else emptyList(),
                callerTimeoutMillis = callerTimeoutMillis,
                id = id,
            )
        statuses.computeIfAbsent(answer.status) { AtomicInteger() }.incrementAndGet()
        if (answer.status !in 200..299 || !answer.complete) return
        if (isFailing(id) || answer.body != served(id)) wrong += "$id ${answer.body}"
    }

    override fun close() = relay.close()

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
