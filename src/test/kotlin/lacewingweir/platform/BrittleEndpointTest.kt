package lacewingweir.platform

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

/**
 * Plays endpoints that are overloaded, say that they are brittle and have room for few waiting requests 3 s later, on a
 * fleet of whole instances.
 */
internal class BrittleEndpointTest {
    private class Call(
        val status: Int,
        val sentAtMillis: Long,
        val millis: Long,
    )

    @Test
    fun `service endpoints fall over because the fleet goes on sending to them`() =
        play("services", desks = ENDPOINTS) { index, number -> lookUp(index, "body$number") }

    @Test
    fun `engines fall over because the fleet goes on sending to them`() =
        play("engines") { index, number -> call(index, "sys:100,doc${number % 40}:100") }

    private fun play(
        name: String,
        desks: Int = 1,
        send: suspend RouterFleet.(index: Int, number: Int) -> RouterFleet.CallerResponse,
    ): Unit =
        runBlocking {
            RouterFleet(INSTANCES, engines = ENDPOINTS, desks).use { fleet ->
                val endpoints = if (desks > 1) fleet.desks else fleet.engines
                fleet.start()
                endpoints.forEach {
                    it.prefillMillis = RUN_MILLIS
                    it.room = StandinPromptEngine.Room(RUNNING, waiting = 100)
                    it.republish()
                }
                delay(1_000)
                val start = StandinPromptEngine.nowMillis()
                val calls = CopyOnWriteArrayList<Call>()
                val random = Random(1)
                val stages =
                    launch {
                        endpoints.forEach { it.brittle = SURVIVED_REFUSALS }
                        delay(CONTACT_MILLIS)
                        endpoints.forEach { it.room = StandinPromptEngine.Room(RUNNING, waiting = 4) }
                    }
                (0 until CALLS)
                    .map { number ->
                        delay(start + number * PLAY_MILLIS / CALLS - StandinPromptEngine.nowMillis())
                        launch {
                            val sentAt = StandinPromptEngine.nowMillis()
                            val status = fleet.send(random.nextInt(INSTANCES), number).status
                            calls += Call(status, sentAt, StandinPromptEngine.nowMillis() - sentAt)
                        }
                    }.joinAll()
                stages.join()
                val since = start + CONTACT_MILLIS
                val falls = endpoints.sumOf { it.crashes.size }
                val late = calls.filter { it.sentAtMillis >= since }
                println(
                    "$name: falls=$falls refusals=${endpoints.sumOf { e -> e.refusals.count { it >= since } }} " +
                        "most=${endpoints.maxOf { mostInASecond(it.refusals.filter { at -> at >= since }) }} " +
                        "statuses=${late.groupingBy { it.status }.eachCount()} " +
                        "p95Ms=${late.map { it.millis }.sorted()[late.size * 95 / 100]}",
                )
                expectThat(falls).isLessThanOrEqualTo(2)
                val capacity = ENDPOINTS * RUNNING * (PLAY_MILLIS - CONTACT_MILLIS) / RUN_MILLIS.toDouble()
                expectThat(late.count { it.status == 200 } / capacity).isGreaterThan(0.5)
            }
        }

    private fun mostInASecond(times: List<Long>) =
        times.maxOfOrNull { at -> times.count { it in at until at + 1_000 } } ?: 0

    private companion object {
        const val INSTANCES = 4
        const val ENDPOINTS = 3
        const val RUNNING = 6
        const val RUN_MILLIS = 100L
        const val SURVIVED_REFUSALS = 5
        const val CONTACT_MILLIS = 3_000L

        /** One and a half times what the endpoints can run. */
        const val CALLS = 3_000
        const val PLAY_MILLIS = 11_000L
    }
}
