/**
 * Takes a router through its start, some calls and its stop, so that a build can record the classes that this loads.
 *
 * After a loss of power all instances start at once, each on a fraction of a core, and loading classes takes up most of
 * a start. A JVM that maps an archive of loaded classes starts in a fraction of the processor time. The build runs this
 * command with `-XX:ArchiveClassesAtExit`, and the program is started with `-XX:SharedArchiveFile`. A JVM that the
 * archive doesn't fit loads the classes as without one.
 */
package lacewingweir.cli.rehearse

import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import lacewingweir.cli.ExitCode
import lacewingweir.cli.io.CommandContext
import lacewingweir.cli.router.RouterInstance
import lacewingweir.platform.RehearsalPlatform
import lacewingweir.protocol.settings.HostPort
import lacewingweir.protocol.settings.PlatformBounds
import lacewingweir.protocol.settings.RouterSettings
import lacewingweir.protocol.settings.RouterSettingsResult
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResult
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.http.readAll
import java.net.ServerSocket
import java.util.concurrent.TimeUnit

/** `rehearse`: runs a router on a stand-in of the platform for a few seconds. Fails if the router serves no call. */
@OptIn(ExperimentalCli::class)
internal class RehearseCommand(
    private val context: CommandContext,
) : Subcommand("rehearse", "Start and stop a router on a stand-in of the platform, to record its classes") {
    override fun execute() {
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        try {
            val answered = RehearsalPlatform(group, scope).use { runBlocking { rehearse(it, group) } }
            context.out("rehearse: $answered of $CALLS calls answered")
            context.exitCode = if (answered > 0) ExitCode.SUCCESS else ExitCode.FAILED
        } finally {
            scope.cancel()
            group.shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        }
    }

    private suspend fun rehearse(
        platform: RehearsalPlatform,
        group: EventLoopGroup,
    ): Int {
        val settings = readBack(settings(platform))
        return RouterInstance(settings).use { router ->
            router.start()
            delay(START_MILLIS)
            val http = HttpClient(group)
            val answered = (1..CALLS).count { call(http, checkNotNull(HostPort.parse(settings.callerListen)), it) }
            delay(DIGESTS_MILLIS)
            router.shutdown()
            http.close()
            answered
        }
    }

    /** Also takes the settings through the parser, as at a normal start. */
    private fun readBack(settings: RouterSettings): RouterSettings =
        when (val result = RouterSettings.parse(Json.encodeToString(RouterSettings.serializer(), settings))) {
            is RouterSettingsResult.Valid -> result.settings
            is RouterSettingsResult.Invalid -> error("settings of the rehearsal: ${result.errors}")
        }

    private fun settings(platform: RehearsalPlatform): RouterSettings {
        val (callerPort, readinessPort, digestPort) = freePorts()
        return RouterSettings(
            name = "rehearsal",
            failureDomain = "z",
            host = HOST,
            callerListen = "$HOST:$callerPort",
            readinessListen = "$HOST:$readinessPort",
            internalPorts = listOf(digestPort, digestPort),
            storeAddress = platform.storeAddress,
            bounds = PlatformBounds(shutdownSeconds = 4.0),
        )
    }

    private fun freePorts(): List<Int> {
        val sockets = List(PORTS) { ServerSocket(0) }
        return sockets.map { it.localPort }.also { sockets.forEach(ServerSocket::close) }
    }

    /** Sends a prompt, or every third time a call to the plain service. Returns whether it was answered. */
    private suspend fun call(
        http: HttpClient,
        address: HostPort,
        number: Int,
    ): Boolean {
        val plain = number % PLAIN_PERIOD == 0
        val request =
            ClientRequest(
                host = address.host,
                port = address.port,
                method = "POST",
                path = if (plain) "/lookup/x" else "/tag/x",
                headers =
                    RehearsalPlatform.callHeaders + RehearsalPlatform.callId(number) +
                        if (plain) emptyList() else RehearsalPlatform.promptHeaders,
                body = "body".encodeToByteArray(),
                preserveHostHeader = true,
            )
        val response = (http.open(request) as? ClientResult.Answered)?.response ?: return false
        return response.readAll(MAX_RESPONSE_BYTES) != null && response.status == STATUS_OK
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val PORTS = 3
        const val CALLS = 30
        const val PLAIN_PERIOD = 3
        const val STATUS_OK = 200
        const val MAX_RESPONSE_BYTES = 65_536

        /** Longer than a router takes until it has listed the store. */
        const val START_MILLIS = 1_500L

        /** Longer than the interval between the reports that a router logs. */
        const val DIGESTS_MILLIS = 5_500L
        const val CLOSE_TIMEOUT_MILLIS = 1_000L
    }
}
