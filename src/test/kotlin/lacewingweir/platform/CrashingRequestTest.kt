package lacewingweir.platform

import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import lacewingweir.testing.eventually
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random

/** Plays a request that ends each endpoint that runs it, and that comes again, on a fleet of whole instances. */
internal class CrashingRequestTest {
    private class Served(
        val atMillis: Long,
        val complete: Boolean,
    )

    @Test
    fun `a lookup that crashes its endpoints stops reaching them in a small fleet`() = playLookups(instances = 8)

    @Test
    fun `a lookup that crashes its endpoints stops reaching them in a large fleet`() = playLookups(instances = 60)

    /** Sound prompts share all parts with the one that crashes engines, so that no part tells them apart. */
    @Test
    fun `a prompt that crashes engines stops reaching them in a small fleet`() = playPrompts(instances = 8, engines = 6)

    @Test
    fun `a prompt that crashes engines stops reaching them in a large fleet`() =
        playPrompts(instances = 60, engines = 60)

    @Test
    fun `a prompt that crashes engines before they respond stops reaching them`() =
        playPrompts(instances = 8, engines = 6, beforeHead = true)

    private fun playLookups(instances: Int): Unit =
        runBlocking {
            RouterFleet(instances, engines = 1, desks = 3).use { fleet ->
                fleet.start()
                fleet.desks.forEach { it.crashingBodies = setOf(CRASHING) }
                play(instances, fleet.desks) { index, crashes, number ->
                    // One sound lookup in four is a hot one, the others come once.
                    val sound = if (number % 4 == 1) "hot${number % 3}" else "lot$number"
                    fleet.lookUp(index, if (crashes) CRASHING else sound).status == 200
                }
            }
        }

    private fun playPrompts(
        instances: Int,
        engines: Int,
        beforeHead: Boolean = false,
    ): Unit =
        runBlocking {
            RouterFleet(instances, engines).use { fleet ->
                fleet.start()
                fleet.engines.forEach {
                    it.crashingBodies = setOf(CRASHING)
                    it.crashesBeforeHead = beforeHead
                }
                play(instances, fleet.engines) { index, crashes, number ->
                    val parts = if (number % 2 == 0) CRASHING_PARTS else "sys1:100,doc${number % 10}:100"
                    val response =
                        if (crashes) {
                            fleet.call(
                                index,
                                CRASHING_PARTS,
                                CRASHING,
                                "own",
                            )
                        } else {
                            fleet.call(index, parts)
                        }
                    response.status == 200 && response.complete
                }
            }
        }

    /** Makes sound calls all the time, and the crashing one from [WARMUP_MILLIS] on, each at any of the instances. */
    private suspend fun play(
        instances: Int,
        endpoints: List<StandinPromptEngine>,
        call: suspend (index: Int, crashes: Boolean, number: Int) -> Boolean,
    ): Unit =
        kotlinx.coroutines.coroutineScope {
            val random = Random(1)
            val served = CopyOnWriteArrayList<Served>()
            val startMillis = StandinPromptEngine.nowMillis()
            val calls =
                (0 until CALLS).map { n ->
                    delay(PERIOD_MILLIS)
                    val index = random.nextInt(instances)
                    val crashes = n % 4 == 0 && StandinPromptEngine.nowMillis() > startMillis + WARMUP_MILLIS
                    launch {
                        val complete = call(index, crashes, n)
                        if (!crashes) served += Served(StandinPromptEngine.nowMillis(), complete)
                    }
                }
            calls.joinAll()

            val ends = endpoints.flatMap { it.crashes }.sorted()
            val thirdEnd = ends.getOrNull(2) ?: Long.MAX_VALUE
            val late =
                endpoints.flatMap { it.arrivals }.count {
                    it.body == CRASHING && thirdEnd < it.atMillis - CONTACT_MILLIS
                }
            expectThat(
                late,
            ).describedAs("crashing calls that reached endpoints, ${ends.size} ends").isLessThanOrEqualTo(3)
            expectThat(ends.size).isLessThan(MAX_ENDS)
            val lastMillis = served.filter { it.atMillis > StandinPromptEngine.nowMillis() - 3_000 }
            expectThat(lastMillis.count { it.complete }.toDouble() / lastMillis.size).isGreaterThan(0.9)
        }

    /** Guards against a verdict that ends with the instances that know it. */
    @Test
    fun `a blocked request stays blocked when all instances end, for its caller only`(): Unit =
        runBlocking {
            RouterFleet(size = 4, engines = 1, desks = 3).use { fleet ->
                fleet.start()
                fleet.blockCrashingRequest(path = "/lookup/x")
                fleet.killInstances()
                fleet.startInstances()
                val endsBefore = fleet.desks.sumOf { it.crashes.size }
                repeat(12) {
                    // The customer may show another of its keys.
                    val response = fleet.lookUp(it % 4, CRASHING, key = if (it % 2 == 0) "k1" else "k1b")
                    expectThat(response.status).isEqualTo(503)
                    expectThat(response.retryAfter?.toDouble()).isNotNull().isGreaterThan(60.0)
                }
                expectThat(fleet.desks.sumOf { it.crashes.size }).isEqualTo(endsBefore)
                fleet.desks.forEach { it.crashingBodies = emptySet() }
                expectThat(fleet.lookUp(0, CRASHING, key = "k2").status).isEqualTo(200)
                expectThat(fleet.lookUp(0, "another body").status).isEqualTo(200)
                expectThat(fleet.lookUp(0, CRASHING, path = "/lookup/y").status).isEqualTo(200)
            }
        }

    /** Guards against calls that end endpoints because they are never repeated here, but come again. */
    @Test
    fun `a reservation that crashes its endpoints is blocked`(): Unit =
        runBlocking {
            RouterFleet(size = 4, engines = 1, desks = 3).use { fleet ->
                fleet.start()
                fleet.blockCrashingRequest(path = "/reserve/x")
                expectThat(fleet.desks.sumOf { it.crashes.size }).isLessThan(MAX_ENDS)
            }
        }

    /** Guards against refusals of sound calls, hot ones above all, at endpoints that crash for another reason. */
    @Test
    fun `sound lookups at endpoints that crash again and again, also all at once, are answered afterwards`(): Unit =
        runBlocking {
            RouterFleet(size = 4, engines = 1, desks = 3).use { fleet ->
                fleet.start()
                fleet.desks.forEach { it.prefillMillis = 60 }
                val calls =
                    (0 until 400).map { n ->
                        delay(25)
                        // Each endpoint is back before its next crash.
                        if (n % 30 == 29 && n < 270) fleet.desks[n / 30 % 3].crash()
                        if (n == 350) fleet.desks.forEach { it.crash() }
                        launch { fleet.lookUp(n % 4, soundBody(n)) }
                    }
                calls.joinAll()
                delay(2 * StandinPromptEngine.RESTART_MILLIS)
                val answers = (0 until 400).map { n -> n to fleet.lookUp(n % 4, soundBody(n)).status }
                expectThat(answers.filter { it.second != 200 }).describedAs("sound calls refused").isEmpty()
                expectThat(fleet.store.value(PlatformKeys.BLOCK_LIST)).isNull()
            }
        }

    /** Guards against verdicts from time-outs, and from responses that endpoints that live break off. */
    @Test
    fun `lookups that endpoints that live don't answer are not blamed`(): Unit =
        runBlocking {
            RouterFleet(size = 3, engines = 1, desks = 3).use { fleet ->
                fleet.start()
                fleet.desks.forEach { it.abortingBodies = setOf("lot") }
                repeat(30) { fleet.lookUp(it % 3, "lot") }
                fleet.desks.forEach {
                    it.abortingBodies = emptySet()
                    it.prefillMillis = SLOWER_THAN_DEADLINE_MILLIS
                }
                List(6) { n -> launch { fleet.lookUp(n % 3, "lot") } }.joinAll()
                fleet.desks.forEach { it.prefillMillis = 10 }
                expectThat(fleet.lookUp(0, "lot").status).isEqualTo(200)
                expectThat(fleet.store.value(PlatformKeys.BLOCK_LIST)).isNull()
            }
        }

    /** Two hot lookups of each instance, among others that come once. */
    private fun soundBody(number: Int) = if (number % 3 == 0) "lot$number" else "hot${number % 2}"

    /** Sends the crashing request until it is blocked in the store. */
    private suspend fun RouterFleet.blockCrashingRequest(path: String) {
        desks.forEach { it.crashingBodies = setOf(CRASHING) }
        eventually("the request is blocked", timeoutMillis = 30_000) {
            lookUp(Random.nextInt(4), CRASHING, path)
            delay(50)
            store.value(PlatformKeys.BLOCK_LIST)?.contains("requests") == true
        }
        eventually("the endpoints are back", timeoutMillis = 10_000) { lookUp(0, "sound").status == 200 }
    }

    private companion object {
        const val CRASHING = "bad request"
        const val CRASHING_PARTS = "sys0:100,doc0:100"
        const val CALLS = 600
        const val PERIOD_MILLIS = 20L
        const val WARMUP_MILLIS = 1_500L
        const val SLOWER_THAN_DEADLINE_MILLIS = 3_500L

        /** Time that the platform gives the fleet to exchange knowledge. */
        const val CONTACT_MILLIS = 3_000L

        /** Three ends, and one for each of the three calls that may still reach endpoints after that. */
        const val MAX_ENDS = 7
    }
}
