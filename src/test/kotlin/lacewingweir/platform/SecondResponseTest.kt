package lacewingweir.platform

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.joran.JoranConfigurator
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.read.ListAppender
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.runBlocking
import lacewingweir.cli.BuildInfo
import lacewingweir.testing.eventually
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResult
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.http.StatusPair
import lacewingweir.transport.http.readAll
import lacewingweir.transport.relay.CallState
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.slf4j.LoggerFactory
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.matches

/** Guards against records from which it can't be told whether a server answered a call twice. */
internal class SecondResponseTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val client = HttpClient(group)
    private val servers = ArrayList<RawServer>()

    @AfterEach
    fun close() {
        servers.forEach { it.close() }
        client.close()
        group.shutdownGracefully()
    }

    private fun response(
        id: String,
        status: String = "200 OK",
    ) = "HTTP/1.1 $status\r\nAttempt-Id: $id\r\nContent-Length: 0\r\n\r\n"

    private fun send(
        server: RawServer,
        id: String,
    ) = runBlocking {
        val request =
            ClientRequest(
                "127.0.0.1",
                server.port,
                "POST",
                "/",
                headers = listOf("Attempt-Id" to id),
                id = id,
                responseId = { it.get("Attempt-Id") },
            )
        (client.open(request) as ClientResult.Answered).response.readAll(1)
    }

    private fun expectSecond(
        ids: List<String>,
        onRequest: RawServer.Connection.(RawServer.Request) -> Unit,
    ) {
        val server = RawServer(onRequest = onRequest).also(servers::add)
        ids.forEach { send(server, it) }
        runBlocking {
            eventually("the second response is counted") {
                client.secondResponseTotals == mapOf(StatusPair(200, 500) to 1L)
            }
        }
    }

    @Test
    fun `a second response on an idle connection is counted with both statuses`() =
        expectSecond(listOf("a")) {
            write(response(it.id))
            Thread.sleep(IDLE_MILLIS)
            write(response(it.id, FAILURE))
        }

    @Test
    fun `a second response behind the answer is counted with both statuses`() =
        expectSecond(listOf("a")) { write(response(it.id) + response(it.id, FAILURE)) }

    @Test
    fun `a second response before the next answer is counted with both statuses`() =
        expectSecond(listOf("a", "b")) { request ->
            val second = previous?.let { response(it, FAILURE) }.orEmpty()
            write(second + response(request.id))
        }

    @Test
    fun `the first 200 characters of a log line tell the outcome of a call and how it was sent`() {
        val logger = LoggerFactory.getLogger(CallState::class.java) as Logger
        val lines = ListAppender<ILoggingEvent>().also { it.start() }
        logger.addAppender(lines)
        logger.level = Level.INFO
        val server = RawServer { write(response(it.id)) }.also(servers::add)
        try {
            RelayFixture().use { relay ->
                relay.configure("k1")
                relay.registerPlain("i-35c7a7c599", server.port)
                runBlocking { relay.call("non_idempotent") }
            }
        } finally {
            logger.level = null
            logger.detachAppender(lines)
        }
        val line = encodeAsInProduction(lines.list.last()).take(RECORDED_CHARACTERS)
        val facts = "status=200 at=i-35c7a7c599 sends=1 again=false skipped=0 carried=0"
        expectThat(line).contains("id=${RelayFixture.REQUEST_ID}").contains(facts)
    }

    private fun encodeAsInProduction(event: ILoggingEvent): String {
        val context = LoggerContext()
        JoranConfigurator().apply { this.context = context }.doConfigure(javaClass.getResource("/logback.xml"))
        val appender = context.getLogger(Logger.ROOT_LOGGER_NAME).getAppender("STDOUT")
        return (appender as ConsoleAppender<ILoggingEvent>).encoder.encode(event).decodeToString()
    }

    @Test
    fun `the program knows the commit that it was built from`() {
        expectThat(BuildInfo.commit).matches(Regex("[0-9a-f]{7,}(-dirty)?"))
    }

    private companion object {
        const val FAILURE = "500 Internal Server Error"
        const val IDLE_MILLIS = 50L

        /** What is kept of a line in the callers' records. */
        const val RECORDED_CHARACTERS = 200
    }
}
