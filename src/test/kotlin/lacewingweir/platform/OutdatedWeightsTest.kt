package lacewingweir.platform

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import lacewingweir.platform.RelayFixture.Companion.responseHeaders
import lacewingweir.transport.http.ServerExchange
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Calls wait in the queue of an engine with outdated weights while the bound passes after which none may begin on them.
 * A call begins with its first event.
 */
internal class OutdatedWeightsTest {
    private val relays = ArrayList<RelayFixture>()

    @AfterEach
    fun close() = relays.forEach { it.close() }

    private fun relay(
        repeatExtra: Double = 50.0,
        resumable: Boolean = true,
    ) = RelayFixture(repeatExtra, BOUND_MILLIS, CALL_MILLIS, resumable).also {
        relays += it
        it.configure("k1")
    }

    private suspend fun RelayFixture.stream() = call("stream", headers = PROMPT, callerTimeoutMillis = CALL_MILLIS)

    /** Keeps each call in its queue, and begins it unless it was withdrawn. */
    private class QueueingEngine {
        val received = CompletableDeferred<Unit>()
        val withdrawnAt = CompletableDeferred<TimeMark>()
        val begun = CopyOnWriteArrayList<ServerExchange>()

        suspend fun serve(exchange: ServerExchange) {
            exchange.onDisconnect { withdrawnAt.complete(TimeSource.Monotonic.markNow()) }
            received.complete(Unit)
            delay(QUEUE_MILLIS)
            if (withdrawnAt.isCompleted) return
            begun += exchange
            answer(exchange)
        }

        /** Expects that the call in the queue was withdrawn before the bound for weights [set] at that moment. */
        suspend fun expectWithdrawn(set: TimeMark) {
            val withdrawn = withTimeoutOrNull(QUEUE_MILLIS) { withdrawnAt.await() }
            expectThat(withdrawn).isNotNull()
            expectThat(set.elapsedNow() - withdrawn!!.elapsedNow()).isLessThan(BOUND_MILLIS.milliseconds)
            expectThat(begun).isEmpty()
        }
    }

    /** Guards against calls that begin on outdated weights because they were checked only when they were sent. */
    @Test
    fun `a resumable stream is withdrawn from outdated weights before the bound and served by new ones`(): Unit =
        runBlocking {
            val relay = relay()
            val outdated = QueueingEngine()
            relay.endpoint("i-1", "engine", handler = outdated::serve)
            relay.setTargetWeights(2)
            val set = TimeSource.Monotonic.markNow()
            val response = async { relay.stream() }
            outdated.received.await()
            val renewed = relay.endpoint("i-2", "engine", weights = 2, handler = ::answer)
            expectThat(response.await().complete).isTrue()
            expectThat(set.elapsedNow()).isLessThan(BOUND_MILLIS.milliseconds)
            expectThat(renewed.receivedRequests).hasSize(1)
            outdated.expectWithdrawn(set)
        }

    /** Guards against calls that were sent while their weights were the newest, and begin long after. */
    @Test
    fun `a call that waits while newer weights are set is withdrawn before the bound`(): Unit =
        runBlocking {
            val relay = relay()
            val outdated = QueueingEngine()
            relay.endpoint("i-1", "engine", handler = outdated::serve)
            val response = async { relay.stream() }
            outdated.received.await()
            relay.setTargetWeights(2)
            val set = TimeSource.Monotonic.markNow()
            relay.endpoint("i-2", "engine", weights = 2, handler = ::answer)
            expectThat(response.await().complete).isTrue()
            outdated.expectWithdrawn(set)
        }

    /** Guards against second runs: closing the connection doesn't prove that the first one hasn't begun. */
    @Test
    fun `a call that must not run twice fails with 502 before the bound if it has not begun`(): Unit =
        runBlocking {
            val relay = relay(resumable = false)
            val outdated = QueueingEngine()
            relay.endpoint("i-1", "engine", handler = outdated::serve)
            relay.setTargetWeights(2)
            val set = TimeSource.Monotonic.markNow()
            val response = async { relay.stream() }
            outdated.received.await()
            val renewed = relay.endpoint("i-2", "engine", weights = 2, handler = ::answer)
            expectThat(response.await().status).isEqualTo(502)
            expectThat(set.elapsedNow()).isLessThan(BOUND_MILLIS.milliseconds)
            outdated.expectWithdrawn(set)
            expectThat(renewed.receivedRequests).isEmpty()
        }

    /** Guards against withdrawals that multiply the load of a fleet whose engines are all busy. */
    @Test
    fun `a withdrawn call is not repeated if the repeat budget is used up`(): Unit =
        runBlocking {
            val relay = relay(repeatExtra = 0.0)
            val outdated = QueueingEngine()
            relay.endpoint("i-1", "engine", handler = outdated::serve)
            relay.setTargetWeights(2)
            val set = TimeSource.Monotonic.markNow()
            val response = async { relay.stream() }
            outdated.received.await()
            val renewed = relay.endpoint("i-2", "engine", weights = 2, handler = ::answer)
            expectThat(response.await().status).isEqualTo(502)
            outdated.expectWithdrawn(set)
            expectThat(renewed.receivedRequests).isEmpty()
        }

    /** Guards against repeats that begin on outdated weights after their first engine has crashed. */
    @Test
    fun `the repeat of a call whose engine broke off is withdrawn from outdated weights before the bound`(): Unit =
        runBlocking {
            val relay = relay()
            val outdated = QueueingEngine()
            val requests = AtomicInteger()
            for (id in listOf("i-1", "i-2")) {
                relay.endpoint(id, "engine") {
                    if (requests.incrementAndGet() == 1) it.abort() else outdated.serve(it)
                }
            }
            relay.setTargetWeights(2)
            val set = TimeSource.Monotonic.markNow()
            val response = async { relay.stream() }
            outdated.received.await()
            expectThat(response.await().status).isEqualTo(502)
            expectThat(set.elapsedNow()).isLessThan(BOUND_MILLIS.milliseconds)
            outdated.expectWithdrawn(set)
        }

    @Test
    fun `a call that has begun in time goes on after the bound`(): Unit =
        runBlocking {
            val relay = relay(resumable = false)
            relay.endpoint("i-1", "engine") {
                it.startStream(200, EVENT_STREAM)
                it.write(event(1))
                delay(QUEUE_MILLIS)
                it.write(event(2))
                it.finish()
            }
            relay.setTargetWeights(2)
            expectThat(relay.stream()) {
                get { complete }.isTrue()
                get { body }.isEqualTo((event(1) + event(2)).decodeToString())
            }
        }

    private companion object {
        /** How long after newer weights were set calls may begin on older ones. */
        const val BOUND_MILLIS: Long = 3_000

        /** Longer than [BOUND_MILLIS], and shorter than a call waits for an answer before it tries another engine. */
        const val QUEUE_MILLIS: Long = 3_500
        const val CALL_MILLIS: Long = 10_000
        val PROMPT = listOf("Model" to "m", "Token-Counts" to "300,20", "Prompt-Prefix" to "a1:100,b2:200")
        val EVENT_STREAM = responseHeaders + ("Content-Type" to "text/event-stream")

        fun event(id: Int) = "id: $id\ndata: piece$id\n\n".encodeToByteArray()

        suspend fun answer(exchange: ServerExchange) {
            exchange.startStream(200, EVENT_STREAM)
            exchange.write(event(1))
            exchange.finish()
        }
    }
}
