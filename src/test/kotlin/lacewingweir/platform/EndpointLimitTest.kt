package lacewingweir.platform

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random

/** Plays engines that name a limit of requests per second, on a fleet of whole instances. */
internal class EndpointLimitTest {
    private val statuses = CopyOnWriteArrayList<Int>()

    @Test
    fun `an engine gets no more requests than its limit in a small fleet`() = playSomeLimited(instances = 8)

    @Test
    fun `an engine gets no more requests than its limit in a large fleet`() = playSomeLimited(instances = 60)

    /** Two of six engines name limits, and all calls are served. */
    private fun playSomeLimited(instances: Int): Unit =
        runBlocking {
            RouterFleet(instances, engines = 6).use { fleet ->
                fleet.start()
                fleet.engines[0].requestLimit = 1.0
                fleet.engines[1].requestLimit = 1.2
                val start = StandinPromptEngine.nowMillis()
                sendCalls(fleet, instances)
                fleet.engines.take(2).forEach { expectWithinLimit(it, start) }
                expectThat(servedShare()).isGreaterThan(0.99)
            }
        }

    /** Guards against calls that reach engines because no other engine is left, or that wait until their deadline. */
    @Test
    fun `engines that all name a limit get no more requests, and use most of it`(): Unit =
        runBlocking {
            RouterFleet(size = 8, engines = 3).use { fleet ->
                fleet.start()
                fleet.engines.forEach { it.requestLimit = 4.0 }
                val start = StandinPromptEngine.nowMillis()
                sendCalls(fleet, instances = 8)
                fleet.engines.forEach { engine ->
                    expectWithinLimit(engine, start)
                    val late = engine.arrivals.count { it.atMillis > start + CONTACT_MILLIS }
                    val seconds = (StandinPromptEngine.nowMillis() - start - CONTACT_MILLIS) / 1_000.0
                    expectThat(late / seconds).describedAs("used limit").isGreaterThan(0.7 * 4.0)
                }
            }
        }

    private suspend fun CoroutineScope.sendCalls(
        fleet: RouterFleet,
        instances: Int,
    ) {
        val random = Random(1)
        (0 until CALLS)
            .map {
                delay(PERIOD_MILLIS)
                val index = random.nextInt(instances)
                val parts = "sys${random.nextInt(2)}:100,doc${random.nextInt(40)}:100"
                launch { statuses += fleet.call(index, parts).status }
            }.joinAll()
    }

    private fun servedShare() = statuses.count { it == 200 }.toDouble() / statuses.size

    /** Checks the limit in each span of [WINDOW_MILLIS] that begins when all instances know it. */
    private fun expectWithinLimit(
        engine: StandinPromptEngine,
        namedAtMillis: Long,
    ) {
        val limit = checkNotNull(engine.requestLimit)
        val times = engine.arrivals.map { it.atMillis }.filter { it > namedAtMillis + CONTACT_MILLIS }
        val most = times.maxOfOrNull { from -> times.count { it in from until from + WINDOW_MILLIS } } ?: 0
        expectThat(most.toDouble())
            .describedAs("requests in 4 s with a limit of $limit/s")
            .isLessThanOrEqualTo(1.5 * WINDOW_MILLIS / 1_000 * limit + 5)
    }

    private companion object {
        const val CALLS = 500
        const val PERIOD_MILLIS = 25L

        /** Time that the platform gives the fleet to exchange knowledge. */
        const val CONTACT_MILLIS = 3_000L
        const val WINDOW_MILLIS = 4_000L
    }
}
