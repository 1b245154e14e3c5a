package lacewingweir.platform

import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random

/** Plays a part of a prompt that ends each engine on which an answer begins, on a fleet of whole instances. */
internal class CrashingPromptPartTest {
    private class Served(
        val atMillis: Long,
        val complete: Boolean,
    )

    @Tag("known-red")
    @Test
    fun `a prompt part that crashes engines stops reaching them in a small fleet`() = play(instances = 8, engines = 6)

    @Tag("known-red")
    @Test
    fun `a prompt part that crashes engines stops reaching them in a large fleet`() = play(instances = 60, engines = 60)

    /** Sends sound calls all the time, and calls with the crashing part from [WARMUP_MILLIS] on. */
    private fun play(
        instances: Int,
        engines: Int,
    ): Unit =
        runBlocking {
            RouterFleet(instances, engines).use { fleet ->
                fleet.start()
                fleet.engines.forEach { it.crashingParts = setOf(CRASHING) }
                val random = Random(1)
                val served = CopyOnWriteArrayList<Served>()
                val startMillis = StandinPromptEngine.nowMillis()
                val calls =
                    (0 until CALLS).map { n ->
                        delay(PERIOD_MILLIS)
                        val index = random.nextInt(instances)
                        val crashes = n % 4 == 0 && StandinPromptEngine.nowMillis() > startMillis + WARMUP_MILLIS
                        val document = if (crashes) CRASHING else "doc${random.nextInt(40)}"
                        launch {
                            val response = fleet.call(index, "sys${random.nextInt(2)}:100,$document:100")
                            if (!crashes) served += Served(StandinPromptEngine.nowMillis(), response.isWhole())
                        }
                    }
                calls.joinAll()

                val ends = fleet.engines.flatMap { it.crashes }.sorted()
                val fifthEnd = ends.getOrNull(4) ?: Long.MAX_VALUE
                val late =
                    fleet.engines.flatMap { it.arrivals }.count {
                        CRASHING in it.parts && fifthEnd < it.atMillis - CONTACT_MILLIS
                    }
                expectThat(late).describedAs("calls that reached engines, ${ends.size} ends").isLessThanOrEqualTo(3)
                expectThat(ends.size).isLessThan(MAX_ENDS)
                val lastMillis = served.filter { it.atMillis > StandinPromptEngine.nowMillis() - 3_000 }
                expectThat(lastMillis.count { it.complete }.toDouble() / lastMillis.size).isGreaterThan(0.9)
            }
        }

    private fun RouterFleet.CallerResponse.isWhole() =
        status == 200 && complete && body == (1..3).joinToString("") { "id: $it\ndata: piece$it\n\n" }

    private companion object {
        const val CRASHING = "bad0"
        const val CALLS = 600
        const val PERIOD_MILLIS = 20L
        const val WARMUP_MILLIS = 1_500L

        /** Time that the platform gives the fleet to exchange knowledge. */
        const val CONTACT_MILLIS = 3_000L

        /** Five ends, and one for each of the three calls that may still reach engines after that. */
        const val MAX_ENDS = 9
    }
}
