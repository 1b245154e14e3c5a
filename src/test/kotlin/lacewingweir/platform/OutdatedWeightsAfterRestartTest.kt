package lacewingweir.platform

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan

/**
 * Guards against instances that start anew after new weights were set, and then let calls begin on the previous weights
 * for the whole permitted time once more. Plays whole instances whose engines don't load.
 */
internal class OutdatedWeightsAfterRestartTest {
    @ParameterizedTest
    @ValueSource(ints = [6, 60])
    fun `an instance that restarts begins no calls on weights that were outdated before`(instances: Int): Unit =
        runBlocking {
            RouterFleet(instances, ENGINES).use { it.playRestart(instances, restarted = listOf(0)) }
        }

    @Test
    fun `instances that all restart begin no calls on weights that were outdated before`(): Unit =
        runBlocking {
            RouterFleet(6, ENGINES).use { it.playRestart(6, restarted = List(6) { index -> index }) }
        }

    /** Calls that can begin in time are served before the kill and, since the kill comes early, after it. */
    @Test
    fun `instances that all restart soon after new weights were set still serve calls on the previous ones`(): Unit =
        runBlocking {
            RouterFleet(6, ENGINES).use { fleet ->
                val all = List(6) { it }
                val servedAt = fleet.playRestart(6, restarted = all, killAfterMillis = 2_000)
                expectThat(servedAt.count { it > 2_000 }).describedAs("calls served after the kill").isGreaterThan(5)
            }
        }

    /**
     * Sets new weights, ends and starts the [restarted] instances after [killAfterMillis], and sends calls to all until
     * the previous weights must not serve any more, and then some. Returns when calls were served, in milliseconds
     * since the weights were set.
     */
    private suspend fun RouterFleet.playRestart(
        instances: Int,
        restarted: List<Int>,
        killAfterMillis: Long = 5_500,
    ): List<Long> {
        start()
        engines.forEach { it.weights.losesCommands = true }
        val setAt = StandinPromptEngine.nowMillis()
        setTargetWeights(2)
        delay(killAfterMillis)
        restarted.forEach { killInstance(it) }
        restarted.forEach { restartInstance(it) }
        val servedAt = ArrayList<Long>()
        var number = 0
        while (StandinPromptEngine.nowMillis() < setAt + END_MILLIS) {
            val index = if (number % 2 == 0) restarted[number / 2 % restarted.size] else number % instances
            if (call(index, "sys:100,doc${number++}:100").status == 200) {
                servedAt += StandinPromptEngine.nowMillis() - setAt
            }
            delay(CALL_INTERVAL_MILLIS)
        }
        val late =
            engines
                .flatMap { it.weights.begins }
                .filter { it.weights < 2 }
                .map { it.atMillis - setAt }
                .filter { it > LIMIT_MILLIS }
        expectThat(late).describedAs("late calls, in milliseconds since the weights were set").isEmpty()
        return servedAt
    }

    private companion object {
        const val ENGINES = 4
        const val LIMIT_MILLIS = 8_000L
        const val END_MILLIS = 13_000L
        const val CALL_INTERVAL_MILLIS = 40L
    }
}
