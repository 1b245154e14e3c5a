package lacewingweir.platform

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.runBlocking
import lacewingweir.coordination.store.StoreResult
import lacewingweir.coordination.store.StoreTransaction
import lacewingweir.coordination.store.WatchResult
import lacewingweir.protocol.settings.HostPort
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.ServiceName
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.store.EtcdConfigStore
import lacewingweir.transport.store.EtcdStoreSettings
import lacewingweir.transport.store.StoreAddress
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isNull
import java.util.concurrent.TimeUnit

/** Guards against malformed responses that pass for answers of the store or of an engine to a control request. */
@Timeout(20)
internal class MalformedAnswerReadersTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val http = HttpClient(group)
    private val servers = ArrayList<RawServer>()

    @AfterEach
    fun close() {
        servers.forEach { it.close() }
        http.close()
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
    }

    private fun server(
        head: String,
        body: String,
    ): Int = RawServer { write("$head\r\nContent-Length: ${body.length}\r\n\r\n$body") }.also { servers += it }.port

    private fun platformStore(
        head: String,
        body: String,
    ) = PlatformStore(http, HostPort("127.0.0.1", server(head, body)))

    @ParameterizedTest
    @ValueSource(strings = [BLANK_IN_NAME, FOLDED_LINE, OTHER_VERSION])
    fun `no malformed response is an answer of the store`(head: String): Unit =
        runBlocking {
            val page = """{"items":[],"storeRevision":7}"""
            expectThat(platformStore(head, page).range("")).isA<StoreResult.Unknown>()
            expectThat(platformStore(head, """{"revision":7}""").commit(StoreTransaction()))
                .isA<StoreResult.Unknown>()
            expectThat(platformStore(head, """{"lease":5}""").grantLease(1_000)).isA<StoreResult.Unknown>()
            val watch = platformStore(head, """{"events":[],"storeRevision":7}""").watch("", 6, 100)
            expectThat(watch).isA<WatchResult.Failed>()
        }

    @ParameterizedTest
    @ValueSource(strings = [BLANK_IN_NAME, FOLDED_LINE, OTHER_VERSION])
    fun `no malformed response is the status of an engine`(head: String): Unit =
        runBlocking {
            val engine =
                EndpointEntry(
                    id = EndpointId("i-1"),
                    service = ServiceName("engine"),
                    host = "127.0.0.1",
                    port = server(head, """{"sequence":3,"busy":false,"models":[]}"""),
                    domain = FailureDomain("z1"),
                    slots = 1,
                    leaving = false,
                    startedAtUnixMillis = 0,
                    weights = emptyMap(),
                )
            val engines = PlatformEngineClient(http, isPaused = { false }, onStatement = { _, _ -> })
            expectThat(PlatformWeightsControl(engines).status(engine)).isNull()
        }

    @ParameterizedTest
    @ValueSource(strings = [BLANK_IN_NAME, FOLDED_LINE, OTHER_VERSION])
    fun `no malformed response is an answer of the etcd store`(head: String): Unit =
        runBlocking {
            val port = server(head, """{"header":{"revision":"7"},"succeeded":true}""")
            val store = EtcdConfigStore(http, EtcdStoreSettings(listOf(StoreAddress("127.0.0.1", port)), 2_000))
            expectThat(store.compareAndSet("/lw/a", 0, byteArrayOf())).isA<StoreResult.Unknown>()
        }

    private companion object {
        const val BLANK_IN_NAME = "HTTP/1.1 200 OK\r\nX Field: v"
        const val FOLDED_LINE = "HTTP/1.1 200 OK\r\nX-Field: v\r\n folded"
        const val OTHER_VERSION = "HTTP/7.3 200 OK"
    }
}
