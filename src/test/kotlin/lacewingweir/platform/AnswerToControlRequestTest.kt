package lacewingweir.platform

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.runBlocking
import lacewingweir.coordination.weights.LoadWeightsCommand
import lacewingweir.coordination.weights.LoadWeightsResult
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.RequestId
import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.WeightsNumber
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.relay.CopyResult
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotEqualTo
import java.util.concurrent.TimeUnit

/** Guards against extra successes for calls that pass for the answers of engines to control requests. */
@Timeout(20)
internal class AnswerToControlRequestTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val http = HttpClient(group)
    private val engines = PlatformEngineClient(http, isPaused = { false }, onStatement = { _, _ -> })
    private val servers = ArrayList<RawServer>()

    @AfterEach
    fun close() {
        servers.forEach { it.close() }
        http.close()
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
    }

    /** An engine that sends an extra success for a call before it answers a control request. */
    private fun engine(
        status: String,
        body: String = "",
        extra: String = "extra",
    ): EndpointEntry {
        val server =
            RawServer {
                write(response("200 OK", extra, "Attempt-Id: 00000000000000aa\r\nServer-Stamp: s\r\n"))
                write(response(status, body))
            }
        servers += server
        return EndpointEntry(
            id = EndpointId("i-1"),
            service = ServiceName("engine"),
            host = "127.0.0.1",
            port = server.port,
            domain = FailureDomain("z1"),
            slots = 1,
            leaving = false,
            startedAtUnixMillis = 0,
            weights = emptyMap(),
        )
    }

    private fun response(
        status: String,
        body: String,
        headers: String = "",
    ) = "HTTP/1.1 $status\r\n${headers}Content-Length: ${body.length}\r\n\r\n$body"

    private fun load(engine: EndpointEntry) =
        runBlocking {
            val command = LoadWeightsCommand(ModelName("m"), WeightsNumber(2), "a", 1, 0)
            PlatformWeightsControl(engines).load(engine, command)
        }

    @Test
    fun `weights count as loaded only if the engine answers so`() {
        expectThat(load(engine("409 Conflict"))).isNotEqualTo(LoadWeightsResult.ALREADY_LOADED)
    }

    @Test
    fun `an extra success is not the status of an engine`() {
        val extra = """{"sequence":7,"busy":false,"models":[]}"""
        val engine = engine("200 OK", """{"sequence":3,"busy":false,"models":[]}""", extra)
        val status = runBlocking { PlatformWeightsControl(engines).status(engine) }
        expectThat(status?.commandCount).isNotEqualTo(7)
    }

    @Test
    fun `an engine's status is read behind an extra success`() {
        val engine = engine("200 OK", """{"sequence":3,"busy":false,"models":[]}""")
        val status = runBlocking { PlatformWeightsControl(engines).status(engine) }
        expectThat(status?.commandCount).isEqualTo(3)
    }

    private fun copy(
        engine: EndpointEntry,
        stop: Boolean,
    ) = runBlocking { PlatformKvCacheCopier(engines).copy(RequestId("00000000000000bb"), engine, engine, stop) }

    @Test
    fun `an extra success is not a copy`() {
        expectThat(copy(engine("503 Service Unavailable"), stop = true) is CopyResult.Copied).isFalse()
    }

    @Test
    fun `a copy is found behind an extra success`() {
        val engine = engine("200 OK", """{"handle":"c7","createRev":3}""")
        expectThat(copy(engine, stop = true)).isA<CopyResult.Copied>()
    }
}
