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

internal class FleetWindowTest {
    private val windowMillis = 8_000L
    private val limit = RateLimit(perSecond = 1_000.0, burst = 1_000.0)
    private val allowance = 9_000.0

    private fun settled(self: String = "a") =
        FleetUsageWindow(limit, windowMillis, self, hot = true, nowMillis = 0).also {
            it.initializeUsage(0.0, 0)
        }

    /** Load pattern: one customer sends many times its rate through all instances; digests arrive 250 ms late. */
    @Test
    fun `a flood over all instances stays within the rate and its tolerated excess`() {
        val names = List(8) { "i$it" }
        val windows = names.associateWith { settled(it) }
        val random = SplittableRandom(7)
        val taken = ArrayList<Pair<Long, Long>>()
        val inFlight = ArrayDeque<Triple<Long, String, Long>>()
        for (now in 0L..30_000L) {
            while (inFlight.isNotEmpty() && inFlight.first().first <= now) {
                val (_, from, tokens) = inFlight.removeFirst()
                names.filter { it != from }.forEach { windows.getValue(it).recordUsage(from, tokens, now) }
            }
            // Four times the rate: a request of 20 tokens every 5 ms.
            if (now % 5 != 0L) continue
            val at = names[random.nextInt(names.size)]
            if (windows.getValue(at).tryAdmit(20, now, names.toSet() - at, names.size)) {
                taken += now to 20L
                inFlight += Triple(now + 250, at, 20L)
            }
        }
        val worst =
            (0L..22_000L step 100).maxOf { from ->
                taken.filter { it.first in from until from + windowMillis }.sumOf { it.second }
            }
        expectThat(worst.toDouble()).isLessThanOrEqualTo(allowance * 1.1)
        val served = taken.filter { it.first >= 14_000 }.sumOf { it.second }
        expectThat(served).isGreaterThan((allowance * 1.9).toLong())
    }

    /** A split fleet must not spend the rate twice. */
    @Test
    fun `an instance that hears nobody keeps to its part of the limit`() {
        val alone = settled()
        var admitted = 0
        for (now in 0L until windowMillis step 10) {
            if (alone.tryAdmit(100, now, emptySet(), instances = 4)) {
                admitted +=
                    100
            }
        }
        expectThat(admitted.toDouble()).isLessThanOrEqualTo(allowance / 4 + 100)
    }

    /** After a kill of all instances the tokens admitted before are forgotten by everyone. */
    @Test
    fun `a new instance assumes a used window and lets it fade`() {
        val fresh = FleetUsageWindow(limit, windowMillis, "a", hot = true, nowMillis = 0)
        expectThat(fresh.tryAdmit(10, 0, emptySet(), 1)).isFalse()
        expectThat(fresh.tryAdmit(10, windowMillis, emptySet(), 1)).isTrue()
    }

    /**
     * Load pattern: all instances are killed while customers use half of their rate; they must not be refused after
     * it.
     */
    @Test
    fun `a new instance serves a customer that was not known to be hot`() {
        val fresh = FleetUsageWindow(limit, windowMillis, "a", hot = false, nowMillis = 0)
        expectThat(fresh.tryAdmit(3_000, 0, emptySet(), 1)).isTrue()
        expectThat(fresh.isHot(0)).isTrue()
    }

    /** Load pattern: all instances start again together and have not heard of each other yet. */
    @Test
    fun `an instance that starts with all others serves its part of a customer's rate`() {
        val fresh = FleetUsageWindow(limit, windowMillis, "a", hot = false, nowMillis = 0)
        expectThat(fresh.tryAdmit(100, 0, emptySet(), instances = 8)).isTrue()
    }

    @Test
    fun `a new instance takes over what a peer knows, once`() {
        val fresh = FleetUsageWindow(limit, windowMillis, "a", hot = true, nowMillis = 0)
        fresh.initializeUsage(500.0, 0)
        fresh.initializeUsage(9_000.0, 0)
        expectThat(fresh.tryAdmit(10, 0, emptySet(), 1)).isTrue()
    }

    @Test
    fun `usage leaves the window after its length and at most a slot later`() {
        val sum = SlidingWindowSum(windowMillis)
        sum.add(100, 1_000)
        expectThat(sum.total(1_000 + windowMillis - 1)).isEqualTo(100.0)
        expectThat(sum.total(1_000 + windowMillis + windowMillis / 16 + 1)).isEqualTo(0.0)
    }
}
