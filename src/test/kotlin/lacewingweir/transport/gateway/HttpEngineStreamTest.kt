package lacewingweir.transport.gateway

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import lacewingweir.protocol.engine.EngineEvent
import lacewingweir.protocol.engine.EngineStreamValidator
import lacewingweir.state.id.RequestId
import lacewingweir.transport.http.ClientResponse
import lacewingweir.transport.http.ReadResult
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA

internal class HttpEngineStreamTest {
    /** A response whose body consists of comment lines without end. */
    private object EndlessComments : ClientResponse {
        override val status = 200
        override val headers: HttpHeaders = DefaultHttpHeaders()

        override suspend fun read(timeoutMillis: Long): ReadResult {
            delay(5)
            return ReadResult.Data(": ping\n\n".encodeToByteArray())
        }

        override fun close() = Unit
    }

    /** Guards against calls that wait as long as their engine sends bytes that are no event. */
    @Test
    fun `waiting for an event ends although the engine keeps sending bytes`() =
        runBlocking<Unit> {
            val validator = EngineStreamValidator(RequestId("r"), 0, false)
            val event = withTimeoutOrNull(3_000) { HttpEngineStream(EndlessComments, validator).next(300) }
            expectThat(event).isA<EngineEvent.Violation>()
        }
}
