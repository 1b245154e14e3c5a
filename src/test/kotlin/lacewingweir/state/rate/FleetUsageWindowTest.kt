package lacewingweir.state.rate

import lacewingweir.state.fleet.RateLimit
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import java.util.SplittableRandom

internal class FleetUsageWindowTest {
    private val windowMillis = 8_000L
    private val limit = RateLimit(perSecond = 1_000.0, burst = 1_000.0)
    private val allowedTokens = 9_000.0

    private fun initializedWindow() =
        FleetUsageWindow(limit, windowMillis, hot = true, nowMillis = 0).also {
            it.initializeUsage(0.0, 0)
        }

    /** One customer sends four times its rate through all instances, and digests arrive 250 ms late. */
    @Test
    fun `overload over all instances stays within the rate and its tolerated excess`() {
        val names = List(8) { "i$it" }
        val windows = names.associateWith { initializedWindow() }
        val random = SplittableRandom(7)
        val admissions = ArrayList<Pair<Long, Long>>()
        val inFlight = ArrayDeque<Triple<Long, String, Long>>()
        for (now in 0L..30_000L) {
            while (inFlight.isNotEmpty() && inFlight.first().first <= now) {
                val (_, from, tokens) = inFlight.removeFirst()
                names.filter { it != from }.forEach { windows.getValue(it).recordUsage(from, tokens, now) }
            }
            // Four times the rate: a request of 20 tokens every 5 ms.
            if (now % 5 != 0L) continue
            val target = names[random.nextInt(names.size)]
            if (windows.getValue(target).tryAdmit(20, now, names.toSet() - target, names.size)) {
                admissions += now to 20L
                inFlight += Triple(now + 250, target, 20L)
            }
        }
        val maxTokensInWindow =
            (0L..22_000L step 100).maxOf { from ->
                admissions.filter { it.first in from until from + windowMillis }.sumOf { it.second }
            }
        expectThat(maxTokensInWindow.toDouble()).isLessThanOrEqualTo(allowedTokens * 1.1)
        val steadyStateTokens = admissions.filter { it.first >= 14_000 }.sumOf { it.second }
        expectThat(steadyStateTokens).isGreaterThan((allowedTokens * 1.9).toLong())
    }

    /** Without this limit, the parts of a partitioned fleet would together exceed the rate. */
    @Test
    fun `an instance without digests of others is limited to its part of the rate`() {
        val partitionedWindow = initializedWindow()
        var admitted = 0
        for (now in 0L until windowMillis step 10) {
            if (partitionedWindow.tryAdmit(100, now, emptySet(), instances = 4)) {
                admitted +=
                    100
            }
        }
        expectThat(admitted.toDouble()).isLessThanOrEqualTo(allowedTokens / 4 + 100)
    }

    /** When all instances are killed, no instance has a record of the tokens admitted before. */
    @Test
    fun `a new instance assumes a full window that expires`() {
        val newWindow = FleetUsageWindow(limit, windowMillis, hot = true, nowMillis = 0)
        expectThat(newWindow.tryAdmit(10, 0, emptySet(), 1)).isFalse()
        expectThat(newWindow.tryAdmit(10, windowMillis, emptySet(), 1)).isTrue()
    }

    /**
     * All instances are killed while customers use half of their rate. These customers must not be refused after the
     * restart.
     */
    @Test
    fun `a new instance admits requests of a customer that was not known to be hot`() {
        val newWindow = FleetUsageWindow(limit, windowMillis, hot = false, nowMillis = 0)
        expectThat(newWindow.tryAdmit(3_000, 0, emptySet(), 1)).isTrue()
        expectThat(newWindow.isHot(0)).isTrue()
    }

    /** Otherwise each kill of all instances frees the part of the window that a cold customer is assumed not to use. */
    @Test
    fun `a new instance assumes a full window for a customer that floods`() {
        val newWindow = FleetUsageWindow(limit, windowMillis, hot = false, nowMillis = 0)
        val admitted = (0L until 1_000L step 5).count { newWindow.tryAdmit(20, it, emptySet(), 1) } * 20
        expectThat(admitted.toDouble()).isLessThanOrEqualTo(allowedTokens * 0.25)
    }

    /**
     * Guards against usage beyond the limit where the digests of the instances that get most of a customer's requests
     * are lost on a congested link: they use more than their equal part.
     */
    @Test
    fun `silent peers that used most of the limit leave little to the others`() {
        val rate = 1_000_000.0
        val allowed = rate * 9
        val window = FleetUsageWindow(RateLimit(rate, rate), windowMillis, hot = false, nowMillis = 0)
        val start = windowMillis * 2
        for (peer in listOf("live", "silent-1", "silent-2")) {
            val used = if (peer == "live") 0L else (allowed * 0.45).toLong()
            window.recordUsage(peer, 0, start - 500, rate, intervalMillis = 250)
            window.recordUsage(peer, used, start, rate, intervalMillis = 250)
        }
        val admitted =
            (start until start + 1_000L step 10).count { now ->
                if (now % 250 == 0L) window.recordUsage("live", 0, now, rate, intervalMillis = 250)
                window.tryAdmit(20_000, now, setOf("live"), 4)
            } * 20_000
        expectThat(admitted.toDouble()).isLessThanOrEqualTo(allowed * 0.1)
    }

    /** All instances restart at the same time and have not received any digests yet. */
    @Test
    fun `an instance that restarts with all others admits its part of a customer's rate`() {
        val newWindow = FleetUsageWindow(limit, windowMillis, hot = false, nowMillis = 0)
        expectThat(newWindow.tryAdmit(100, 0, emptySet(), instances = 8)).isTrue()
    }

    @Test
    fun `a new instance initializes its usage from a peer only once`() {
        val newWindow = FleetUsageWindow(limit, windowMillis, hot = true, nowMillis = 0)
        newWindow.initializeUsage(500.0, 0)
        newWindow.initializeUsage(9_000.0, 0)
        expectThat(newWindow.tryAdmit(10, 0, emptySet(), 1)).isTrue()
    }

    /**
     * All instances start at the same time, so the first totals arrive when a window has passed. Usage that counts
     * twice makes a customer at a third of its rate hot, and it is refused after the next start.
     */
    @Test
    fun `usage recorded since the start does not count again when a peer reports the total`() {
        val young = FleetUsageWindow(limit, windowMillis, hot = true, nowMillis = 0)
        young.recordUsage("peer", 0, 0, demand = 1.0)
        young.recordUsage("peer", 3_000, 4_000)
        young.initializeUsage(5_000.0, 4_000)
        expectThat(young.total(4_000)).isEqualTo(5_000.0, ROUNDING_ERROR)

        val old = FleetUsageWindow(limit, windowMillis, hot = true, nowMillis = 0)
        old.recordUsage("peer", 0, windowMillis, demand = 1.0)
        old.recordUsage("peer", 3_000, windowMillis + 500)
        old.initializeUsage(3_000.0, windowMillis + 500)
        expectThat(old.total(windowMillis + 500)).isEqualTo(3_000.0, ROUNDING_ERROR)
        expectThat(old.isHot(windowMillis + 500)).isFalse()
    }

    @Test
    fun `usage expires after the window length and at most one slot later`() {
        val sum = SlidingWindowSum(windowMillis)
        sum.add(100, 1_000)
        expectThat(sum.total(1_000 + windowMillis - 1)).isEqualTo(100.0)
        expectThat(sum.total(1_000 + windowMillis + windowMillis / 16 + 1)).isEqualTo(0.0)
    }

    private companion object {
        const val ROUNDING_ERROR = 1e-6
    }
}
