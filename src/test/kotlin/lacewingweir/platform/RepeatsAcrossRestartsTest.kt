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

/** Guards against repeats beyond the budget of the fleet because each run of an instance has a part of its own. */
internal class RepeatsAcrossRestartsTest {
    @Test
    fun `instances that are killed together again and again stay within the repeat budget of the fleet`() =
        playKills { fleet ->
            delay(MILLIS_BETWEEN_KILLS)
            repeat(INSTANCES) { fleet.killInstance(it) }
            repeat(INSTANCES) { fleet.restartInstance(it) }
        }

    @Test
    fun `instances that are killed one after the other stay within the repeat budget of the fleet`() =
        playKills { fleet ->
            repeat(INSTANCES) {
                delay(MILLIS_BETWEEN_KILLS / INSTANCES)
                fleet.killInstance(it)
                fleet.restartInstance(it)
            }
        }

    /** Sends lookups that all endpoints break off, so that each is repeated as often as the budget allows. */
    private fun playKills(kill: suspend (RouterFleet) -> Unit): Unit =
        runBlocking(Dispatchers.Default) {
            RouterFleet(INSTANCES, engines = 1, desks = 2, repeatExtra = REPEAT_EXTRA).use { fleet ->
                fleet.start()
                val bodies = List(CALLS) { "lot$it" }
                fleet.desks.forEach { it.abortingBodies = bodies.toSet() }
                val requestTimes = CopyOnWriteArrayList<Long>()
                coroutineScope {
                    val kills = launch { while (true) kill(fleet) }
                    bodies
                        .mapIndexed { n, body ->
                            launch {
                                delay(n * MILLIS_BETWEEN_CALLS)
                                requestTimes += StandinPromptEngine.nowMillis()
                                fleet.lookUp(n % INSTANCES, body)
                            }
                        }.joinAll()
                    kills.cancel()
                }
                val repeatTimes = StandinPromptEngine.repeatTimes(fleet.desks)
                val windows = RepeatWindows(windowMillis = 10_000, ratio = 0.2, extra = REPEAT_EXTRA)
                val greatestUse = windows.greatestUse(requestTimes, repeatTimes)
                println(
                    "requests=${requestTimes.size} repeats=${repeatTimes.size} greatest use of a window=$greatestUse",
                )
                expectThat(repeatTimes.size).isGreaterThan(0)
                expectThat(greatestUse).isLessThanOrEqualTo(1.0)
            }
        }

    private companion object {
        const val INSTANCES = 4
        const val REPEAT_EXTRA = 56.0
        const val MILLIS_BETWEEN_KILLS = 2_000L
        const val MILLIS_BETWEEN_CALLS = 25L
        const val CALLS = 720
    }
}
