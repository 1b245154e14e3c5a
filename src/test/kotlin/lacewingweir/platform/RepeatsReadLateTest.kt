package lacewingweir.platform

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import lacewingweir.testing.RepeatWindows
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import java.util.concurrent.CopyOnWriteArrayList

/** Guards against repeats beyond the budget of the fleet because endpoints read them later than they were sent. */
internal class RepeatsReadLateTest {
    /** Repeats of two bursts are sent a window apart, and read within one because the endpoints are silent at first. */
    @Test
    fun `repeats that silent endpoints read late stay within the repeat budget of the fleet`(): Unit =
        runBlocking(Dispatchers.Default) {
            RouterFleet(
                INSTANCES,
                engines = 1,
                desks = 2,
                repeatExtra = REPEAT_EXTRA,
                serversMayFallSilent = true,
            ).use { fleet ->
                fleet.start()
                val requestTimes = CopyOnWriteArrayList<Long>()
                val start = StandinPromptEngine.nowMillis()
                fleet.desks.forEach { it.fallSilent(SILENCE_MILLIS) }
                burst(fleet, "silent", requestTimes)
                val bodies = List(CALLS) { "failing$it" }
                fleet.desks.forEach { it.abortingBodies = bodies.toSet() }
                delay(start + MILLIS_BETWEEN_BURSTS - StandinPromptEngine.nowMillis())
                burst(fleet, "failing", requestTimes)
                val repeatTimes = StandinPromptEngine.repeatTimes(fleet.desks)
                val windows = RepeatWindows(WINDOW_MILLIS, ratio = 0.2, extra = REPEAT_EXTRA)
                val greatestUse = windows.greatestUse(requestTimes, repeatTimes)
                val early = repeatTimes.count { it < start + MILLIS_BETWEEN_BURSTS }
                println(
                    "read late: repeats=$early and ${repeatTimes.size - early}, greatest use of a window=$greatestUse",
                )
                expectThat(repeatTimes.size).isGreaterThan(0)
                expectThat(greatestUse).isLessThanOrEqualTo(1.0)
            }
        }

    private suspend fun burst(
        fleet: RouterFleet,
        name: String,
        requestTimes: MutableList<Long>,
    ) = coroutineScope {
        List(CALLS) { n ->
            launch {
                requestTimes += StandinPromptEngine.nowMillis()
                fleet.lookUp(n % INSTANCES, "$name$n", timeoutMillis = CALL_TIMEOUT_MILLIS)
            }
        }.joinAll()
    }

    private companion object {
        const val INSTANCES = 4
        const val CALLS = 200
        const val REPEAT_EXTRA = 56.0
        const val WINDOW_MILLIS = 10_000L
        const val SILENCE_MILLIS = 1_300L

        /** Calls are repeated after two fifths of it. */
        const val CALL_TIMEOUT_MILLIS = 1_500L

        /** More than a window after the first repeats were sent, and less than that after they were read. */
        const val MILLIS_BETWEEN_BURSTS = 10_900L
    }
}
