package lacewingweir.platform

import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import lacewingweir.testing.eventually
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random

/** Plays a part of a prompt that ends each engine on which an answer begins, on a fleet of whole instances. */
internal class CrashingPromptPartTest {
    private class Served(
        val atMillis: Long,
        val complete: Boolean,
    )

    @Test
    fun `a prompt part that crashes engines stops reaching them in a small fleet`() = play(instances = 8, engines = 6)

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

    /** Guards against a verdict that ends with the instances that know it. */
    @Test
    fun `a blocked part stays blocked when all instances end at the same time`(): Unit =
        runBlocking {
            RouterFleet(size = 4, engines = 4).use { fleet ->
                fleet.start()
                fleet.blockCrashingPart()
                fleet.killInstances()
                fleet.startInstances()
                fleet.expectRefused()
            }
        }

    /** Guards against a verdict that a store loses when it is restored from an older copy. */
    @Test
    fun `a blocked part is written again if the store has lost it`(): Unit =
        runBlocking {
            RouterFleet(size = 4, engines = 4).use { fleet ->
                fleet.start()
                val copy = fleet.store.copy()
                fleet.blockCrashingPart()
                delay(NEWS_MILLIS)
                fleet.store.down = true
                fleet.store.restore(copy)
                fleet.store.forgetHistory()
                fleet.store.down = false
                fleet.expectRefused()
                eventually("the part is in the store", timeoutMillis = 15_000) {
                    fleet.store.value(PlatformKeys.BLOCK_LIST)?.contains(CRASHING) == true
                }
            }
        }

    /** Guards against instances that all write the same verdict. */
    @Test
    fun `a verdict is written once`(): Unit =
        runBlocking {
            RouterFleet(size = 8, engines = 4).use { fleet ->
                fleet.start()
                fleet.blockCrashingPart()
                delay(8_000)
                expectThat(fleet.store.writeCounts[PlatformKeys.BLOCK_LIST]).isEqualTo(1)
            }
        }

    /** Guards against verdicts on parts of sound prompts whose answers are broken off by engines that live. */
    @Test
    fun `answers broken off by engines that live block nothing`(): Unit =
        runBlocking {
            RouterFleet(size = 3, engines = 4).use { fleet ->
                fleet.start()
                fleet.engines.forEach { it.brokenOffParts = setOf("doc") }
                repeat(60) { fleet.call(it % 3, "sys:100,doc:100") }
                fleet.engines.forEach { it.brokenOffParts = emptySet() }
                eventually("answers again") { fleet.call(0, "sys:100,doc:100").isWhole() }
                expectThat(fleet.store.value(PlatformKeys.BLOCK_LIST)).isNull()
            }
        }

    /** Guards against verdicts on prompts that were waiting at engines that crash for another reason. */
    @Test
    fun `engines that crash one after the other under sound load block nothing`(): Unit =
        runBlocking {
            RouterFleet(size = 3, engines = 4).use { fleet ->
                fleet.start()
                fleet.engines.forEach { it.prefillMillis = 100 }
                val calls =
                    (0 until 400).map { n ->
                        delay(10)
                        if (n % 50 == 49) fleet.engines[n / 50 % 4].crash()
                        launch { fleet.call(n % 3, "sys:100,doc${n % 20}:100") }
                    }
                calls.joinAll()
                expectThat(fleet.store.value(PlatformKeys.BLOCK_LIST)).isNull()
            }
        }

    /** Sends calls with the crashing part until it is blocked in the store. */
    private suspend fun RouterFleet.blockCrashingPart() {
        engines.forEach { it.crashingParts = setOf(CRASHING) }
        eventually("the part is blocked", timeoutMillis = 20_000) {
            call(Random.nextInt(4), "sys:100,$CRASHING:100")
            store.value(PlatformKeys.BLOCK_LIST)?.contains(CRASHING) == true
        }
        eventually("the engines are back", timeoutMillis = 10_000) { call(0, "sys:100,doc:100").isWhole() }
    }

    private suspend fun RouterFleet.expectRefused() {
        val endsBefore = engines.sumOf { it.crashes.size }
        repeat(20) {
            val response = call(it % 4, "sys:100,$CRASHING:100")
            expectThat(response.status).isEqualTo(503)
            expectThat(response.retryAfter?.toDouble()).isNotNull().isGreaterThan(60.0)
        }
        expectThat(engines.sumOf { it.crashes.size }).isEqualTo(endsBefore)
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

        /** Time in which instances tell each other of a verdict; well within [CONTACT_MILLIS]. */
        const val NEWS_MILLIS = 500L

        /** Five ends, and one for each of the three calls that may still reach engines after that. */
        const val MAX_ENDS = 9
    }
}
