package lacewingweir.platform

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import lacewingweir.platform.RelayFixture.Companion.engineReport
import lacewingweir.platform.RelayFixture.Companion.responseHeaders
import lacewingweir.transport.http.ServerExchange
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.util.concurrent.CopyOnWriteArrayList

/** Guards against streams that are cut because the handover of their run fails, though their engines are sound. */
@Timeout(20)
internal class FailedHandoverTest {
    /** What an engine does when it is told to stop the run. */
    private enum class Stop {
        STOPPED,
        ENDED_WITHOUT_RESPONSE,
        STOPPED_WITHOUT_RESPONSE,
        STOPPED_WITH_LATE_RESPONSE,
    }

    /**
     * An engine that streams three events and goes on when it is told to stop the run. It refuses to continue runs that
     * were copied to it, and continues those that it has stopped, and other streams. While it is [busy] with a load, it
     * finishes its runs and refuses all others.
     */
    private class Engine(
        private val id: String,
        private val log: MutableList<String>,
        private val stop: Stop,
        private val busy: Boolean,
        private val firstCopiesMillis: Long,
    ) {
        val started = CompletableDeferred<Unit>()
        private val stopped = CompletableDeferred<Unit>()
        private var copies = 0

        /** The newest copy, which is the only one that the engine still takes. */
        private var handle = ""

        suspend fun serve(exchange: ServerExchange) {
            val path = exchange.rawPath
            val from = exchange.headers.get("Kv-From")
            val after = exchange.headers.get("Last-Event-Id")
            log += "$id $path from=$from after=$after"
            when {
                path == "/lacewingweir/kv-move" -> copy(exchange)
                path == "/lacewingweir/report" -> exchange.respond(200, JSON, engineReport(busy))
                path.startsWith("/lacewingweir/") -> exchange.respond(200)
                from != null && (busy || !started.isCompleted || from.substringAfter('/') != handle) ->
                    exchange.respond(503, responseHeaders + listOf("Not-Executed" to "1"))
                after != null -> continueStream(exchange)
                else -> stream(exchange)
            }
        }

        private suspend fun copy(exchange: ServerExchange) {
            val last = "\"last\":true" in exchange.body.decodeToString()
            if (copies++ < 2) delay(firstCopiesMillis)
            if (last) stopped.complete(Unit)
            if (last && stop == Stop.STOPPED_WITH_LATE_RESPONSE) delay(LATE_RESPONSE_MILLIS)
            if (last && stop in STOPS_WITHOUT_RESPONSE) {
                delay(100)
                exchange.abort()
            } else {
                handle = "c$copies"
                exchange.respond(200, JSON, """{"handle":"$handle","createRev":3}""".encodeToByteArray())
            }
        }

        private suspend fun stream(exchange: ServerExchange) {
            exchange.startStream(200, responseHeaders + EVENT_STREAM)
            exchange.write(event(1) + event(2) + event(3))
            started.complete(Unit)
            val toldToStop =
                withTimeoutOrNull(LONGER_THAN_HANDOVER_MILLIS + 2 * firstCopiesMillis) { stopped.await() } != null
            if (toldToStop && stop != Stop.ENDED_WITHOUT_RESPONSE) {
                exchange.abort()
            } else {
                exchange.write(event(4) + event(5))
                exchange.finish()
            }
        }

        private suspend fun continueStream(exchange: ServerExchange) {
            exchange.startStream(200, responseHeaders + EVENT_STREAM)
            exchange.write(event(4) + event(5))
            exchange.finish()
        }
    }

    /** Drains the engine of a stream, and returns the response that the caller receives. */
    private fun play(
        resumable: Boolean,
        stop: Stop = Stop.STOPPED,
        busy: Boolean = false,
        weightsOfDraining: Int = 1,
        loads: Boolean = false,
        firstCopiesMillis: Long = 0,
        repeatExtra: Double = 50.0,
        callTimeoutMillis: Long = 2_000,
        log: MutableList<String> = CopyOnWriteArrayList(),
    ): RelayFixture.CallerResponse =
        runBlocking {
            RelayFixture(repeatExtra, routeTimeoutMillis = callTimeoutMillis, resumable = resumable).use { relay ->
                relay.configure("k1")
                // As in production: an endpoint that refuses gets no calls for a quarter of a second.
                relay.limits = relay.limits.copy(placementWaitMillis = 1_000)
                val engines = listOf("i-1", "i-2").map { Engine(it, log, stop, busy, firstCopiesMillis) }
                val endpoints =
                    engines.mapIndexed { i, engine -> relay.endpoint("i-${i + 1}", "engine", handler = engine::serve) }
                coroutineScope {
                    val headers = listOf("Model" to "m", "Token-Counts" to "100,400")
                    val response =
                        async { relay.call("stream", headers = headers, callerTimeoutMillis = callTimeoutMillis) }
                    while (engines.none { it.started.isCompleted }) delay(5)
                    val began = endpoints[engines.indexOfFirst { it.started.isCompleted }]
                    if (loads) {
                        while (response.isActive) {
                            relay.announceLoad(began)
                            delay(ANNOUNCEMENT_PERIOD_MILLIS)
                        }
                    } else {
                        relay.register(began, "engine", "draining", weights = weightsOfDraining)
                    }
                    response.await().also { println("handover: resumable=$resumable stop=$stop busy=$busy $log") }
                }
            }
        }

    private fun expectComplete(response: RelayFixture.CallerResponse) {
        expectThat(response.complete).isTrue()
        expectThat(response.body).isEqualTo((1..5).joinToString("") { event(it).decodeToString() })
    }

    @Test
    fun `a resumable stream goes on if the engine with the copy refuses its run`() =
        expectComplete(play(resumable = true))

    /** An engine keeps the KV cache of a run that it has stopped, so that the run can go on there. */
    @Test
    fun `a stream that may not be resumed goes on if the engine with the copy refuses its run`() =
        expectComplete(play(resumable = false))

    /** Guards against runs that go on with a KV cache of other weights. */
    @Test
    fun `a run does not go back to an engine that has loaded other weights`() {
        val log = CopyOnWriteArrayList<String>()
        play(resumable = false, weightsOfDraining = 2, log = log)
        val began = log.first().substringBefore(' ')
        expectThat(log.filter { it.startsWith(began) && "from=127" in it }).isEmpty()
    }

    @Test
    fun `a stream that has ended is complete if its engine doesn't respond to the order to stop it`() =
        expectComplete(play(resumable = false, stop = Stop.ENDED_WITHOUT_RESPONSE))

    /** The stream has ended early, so its run goes on only if an engine takes it. */
    @Test
    fun `a run goes back to an engine that has stopped it without a response`() =
        expectComplete(play(resumable = false, stop = Stop.STOPPED_WITHOUT_RESPONSE))

    /** Only the response names the copy from which the run can go on. */
    @Test
    fun `a run is not lost if its engine responds late to the order to stop it`() =
        expectComplete(
            play(
                resumable = false,
                stop = Stop.STOPPED_WITH_LATE_RESPONSE,
                loads = true,
                callTimeoutMillis = LONG_CALL_TIMEOUT_MILLIS,
            ),
        )

    /** An instance learns that an engine loads weights after the engine knows it. */
    @Test
    fun `a run is not stopped for an engine that refuses it because it loads weights`() =
        expectComplete(play(resumable = false, busy = true))

    @Test
    fun `a run that could stay is not stopped if the repeat budget has no room for its return`() {
        val log = CopyOnWriteArrayList<String>()
        expectComplete(play(resumable = false, loads = true, repeatExtra = EXTRA_FOR_ONE_REPEAT, log = log))
        expectThat(log.filter { "from=127" in it }).isEmpty()
    }

    /** An engine that is about to load isn't told to before its runs have gone on. */
    @Test
    fun `a run goes back to an engine that has drained for long before a load`() {
        val log = CopyOnWriteArrayList<String>()
        val response =
            play(
                resumable = false,
                loads = true,
                firstCopiesMillis = 800,
                callTimeoutMillis = LONG_CALL_TIMEOUT_MILLIS,
                log = log,
            )
        expectComplete(response)
        val began = log.first().substringBefore(' ')
        expectThat(log.filter { it.startsWith(began) && "from=127" in it }).hasSize(1)
    }

    /** The run would be cut off when its engine leaves. */
    @Test
    fun `a run leaves an engine that leaves if the repeat budget has no room for its return`() {
        val log = CopyOnWriteArrayList<String>()
        play(resumable = false, repeatExtra = EXTRA_FOR_ONE_REPEAT, log = log)
        expectThat(log.filter { "from=127" in it }).hasSize(1)
    }

    private companion object {
        const val LONG_CALL_TIMEOUT_MILLIS = 6_000L
        const val LATE_RESPONSE_MILLIS = 1_800L
        val STOPS_WITHOUT_RESPONSE = setOf(Stop.ENDED_WITHOUT_RESPONSE, Stop.STOPPED_WITHOUT_RESPONSE)
        const val ANNOUNCEMENT_PERIOD_MILLIS = 200L

        /** An instance uses seven tenths of its budget. */
        const val EXTRA_FOR_ONE_REPEAT = 2.0
        const val LONGER_THAN_HANDOVER_MILLIS = 600L
        val EVENT_STREAM = listOf("Content-Type" to "text/event-stream")
        val JSON = listOf("Content-Type" to "application/json")

        fun event(id: Int) = "id: $id\ndata: $id\n\n".encodeToByteArray()
    }
}
