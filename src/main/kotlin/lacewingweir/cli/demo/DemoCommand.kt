package lacewingweir.cli.demo

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import lacewingweir.load.CallerClient
import lacewingweir.load.RequestOutcome
import lacewingweir.standin.engine.StandinEngineOptions
import lacewingweir.standin.engine.StandinModel
import lacewingweir.standin.service.StandinServiceOptions
import lacewingweir.state.bundle.Customer
import lacewingweir.state.bundle.Model
import lacewingweir.state.bundle.Route
import lacewingweir.state.bundle.TrafficClass
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.RouteId
import lacewingweir.state.id.WeightsVersion
import lacewingweir.state.keys.KeyDirectory
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResult
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.http.readAll

/** The `demo` subcommand, which runs a complete system in this process and sends a few requests through it. */
@OptIn(ExperimentalCli::class)
public class DemoCommand : Subcommand("demo", "Run a whole system on embedded stand-ins") {
    private val port by option(ArgType.Int, "port", description = "Caller port of the first instance").default(8080)
    private val exit by option(ArgType.Boolean, "exit", description = "Stop after the requests").default(false)

    override fun execute(): Unit =
        runBlocking {
            val fleet = EmbeddedFleet(options(port)).start()
            println("demo: platform on ${fleet.platform.port}, instances on ${fleet.callerTargets.joinToString()}")
            sendRequests(fleet)
            if (exit) {
                fleet.close()
                return@runBlocking
            }
            Runtime.getRuntime().addShutdownHook(Thread { fleet.close() })
            println("demo: running; end with Ctrl-C. Operator ports start at ${port + OPERATOR_PORT_OFFSET}.")
            awaitCancellation()
        }

    private suspend fun sendRequests(fleet: EmbeddedFleet) {
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val http = HttpClient(group)
        val caller = CallerClient(http)
        val prefix = "Rules for grade tags. ".repeat(PROMPT_REPEATS)
        for ((index, target) in fleet.callerTargets.withIndex()) {
            val startNanos = System.nanoTime()
            val result = caller.chat(target, AGENCE_KEY, "grade-tag", prefix + "Lot $index?", ANSWER_TOKENS, startNanos)
            println("demo: streamed request to $target: ${describe(result)}")
        }
        val refused = caller.chat(fleet.callerTargets[0], "wrong-key", "grade-tag", "x", 1, System.nanoTime())
        println("demo: request with an unknown key: ${describe(refused)}")
        println("demo: reservation: ${reserve(http, fleet.callerTargets[0])}")
        println("demo: the same reservation again, on another instance: ${reserve(http, fleet.callerTargets[1])}")
        println("demo: the service ran ${fleet.services.sumOf { it.stats().totalRuns }} reservation(s)")
        http.close()
        group.shutdownGracefully()
    }

    private suspend fun reserve(
        http: HttpClient,
        target: String,
    ): String {
        val (host, callerPort) = target.split(':')
        val request =
            ClientRequest(
                host = host,
                port = callerPort.toInt(),
                method = "POST",
                path = "/services/reservations",
                headers = listOf("Authorization" to "Bearer $AGENCE_KEY", "Idempotency-Key" to "lot-51-order-7"),
                body = """{"lot":51}""".encodeToByteArray(),
            )
        val result = http.open(request)
        if (result !is ClientResult.Answered) return result.toString()
        val body = result.response.readAll(MAX_RESPONSE_BYTES)?.decodeToString()
        return "status ${result.response.status}, ${result.response.headers.get("X-Lacewingweir-Run")}, $body"
    }

    private fun describe(result: RequestOutcome): String =
        when (result) {
            is RequestOutcome.Complete ->
                "${result.answerTokens} tokens, ${result.cachedTokens} of ${result.promptTokens} prompt tokens " +
                    "cached, first token after %.1f ms".format(result.firstTokenMillis)
            else -> result.toString()
        }

    private companion object {
        const val AGENCE_KEY: String = "demo-key-agence"
        const val OPERATOR_PORT_OFFSET: Int = 1_000
        const val PROMPT_REPEATS: Int = 1_500
        const val ANSWER_TOKENS: Int = 16
        const val MAX_RESPONSE_BYTES: Int = 65_536
        const val INSTANCES: Int = 3
        const val ENGINES: Int = 3

        fun options(port: Int): EmbeddedFleetOptions =
            EmbeddedFleetOptions(
                instances = INSTANCES,
                engines = List(ENGINES) { StandinEngineOptions(models = listOf(StandinModel("grade", "v1"))) },
                services = listOf(StandinServiceOptions(name = "exchange")),
                failureDomains = listOf("liege", "charleroi", "namur"),
                customers =
                    listOf(
                        Customer(
                            id = CustomerId("agence"),
                            tokensPerSecond = 20_000,
                            burstTokens = 200_000,
                            keys = listOf(KeyDirectory.digestOf(AGENCE_KEY)),
                        ),
                    ),
                models = listOf(Model(ModelName("grade"), WeightsVersion("v1"))),
                routes =
                    listOf(
                        Route(RouteId("grade-tag"), TrafficClass.INTERACTIVE, model = ModelName("grade")),
                        Route(RouteId("grade-review"), TrafficClass.BATCH, model = ModelName("grade")),
                        Route(
                            id = RouteId("lots"),
                            trafficClass = TrafficClass.INTERACTIVE,
                            path = "lots",
                            services = listOf(EndpointId("service-1")),
                            open = true,
                        ),
                        Route(
                            id = RouteId("reservations"),
                            trafficClass = TrafficClass.INTERACTIVE,
                            path = "reservations",
                            services = listOf(EndpointId("service-1")),
                            repeatable = false,
                        ),
                    ),
                firstCallerPort = port,
                firstOperatorPort = port + OPERATOR_PORT_OFFSET,
            )
    }
}
