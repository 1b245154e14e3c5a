package lacewingweir.cli.measure

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import lacewingweir.cli.demo.EmbeddedFleet
import lacewingweir.cli.demo.EmbeddedFleetOptions
import lacewingweir.load.CustomerLoad
import lacewingweir.load.LoadRunner
import lacewingweir.load.LoadScenario
import lacewingweir.load.ObservedRequest
import lacewingweir.load.PromptLevel
import lacewingweir.load.PromptTree
import lacewingweir.load.RequestOutcome
import lacewingweir.load.RequestStream
import lacewingweir.standin.engine.StandinEngineOptions
import lacewingweir.standin.engine.StandinModel
import lacewingweir.state.bundle.Customer
import lacewingweir.state.bundle.Route
import lacewingweir.state.bundle.TrafficClass
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.RouteId
import lacewingweir.state.keys.KeyDirectory
import lacewingweir.transport.http.HttpClient
import java.util.concurrent.ConcurrentLinkedQueue

/**
 * Compares the time to first token of direct calls to engines with that of calls through instances.
 *
 * Both kinds of calls run at the same time, each at [REQUESTS_PER_SECOND].
 */
internal class OverheadMeasurement(
    private val http: HttpClient,
) {
    suspend fun run(
        seed: Long,
        seconds: Double,
    ): OverheadResult =
        EmbeddedFleet(fleetOptions()).use { fleet ->
            fleet.start()
            val direct = ConcurrentLinkedQueue<ObservedRequest>()
            val throughInstances = ConcurrentLinkedQueue<ObservedRequest>()
            val engineTargets = fleet.engines.map { "127.0.0.1:${it.port}" }
            coroutineScope {
                launch { LoadRunner(http, direct::add).run(load(engineTargets, MeasurementSite.MODEL, seed, seconds)) }
                launch { LoadRunner(http, throughInstances::add).run(load(fleet.callerTargets, ROUTE, seed, seconds)) }
            }
            val directMillis = sortedFirstTokenMillis(direct)
            val throughMillis = sortedFirstTokenMillis(throughInstances)
            val requestCount = (direct + throughInstances).count { it.dueSeconds >= WARMUP_SECONDS }
            OverheadResult(
                requestsPerSecond = REQUESTS_PER_SECOND,
                requests = requestCount,
                incomplete = requestCount - directMillis.size - throughMillis.size,
                directP50 = CellStatistics.percentile(directMillis, P50),
                directP99 = CellStatistics.percentile(directMillis, P99),
                throughP50 = CellStatistics.percentile(throughMillis, P50),
                throughP99 = CellStatistics.percentile(throughMillis, P99),
            )
        }

    private fun sortedFirstTokenMillis(requests: Collection<ObservedRequest>): List<Double> =
        requests
            .filter { it.dueSeconds >= WARMUP_SECONDS }
            .mapNotNull { (it.outcome as? RequestOutcome.Complete)?.firstTokenMillis }
            .sorted()

    private fun fleetOptions(): EmbeddedFleetOptions =
        EmbeddedFleetOptions(
            instances = MeasurementSite.INSTANCES,
            engines =
                List(ENGINES) {
                    StandinEngineOptions(
                        models = listOf(StandinModel(MeasurementSite.MODEL, "v1")),
                        decodeMillisPerToken = 1,
                    )
                },
            customers =
                listOf(
                    Customer(
                        CustomerId(CUSTOMER),
                        tokensPerSecond = 10_000_000,
                        burstTokens = 100_000_000,
                        keys = listOf(KeyDirectory.digestOf(KEY)),
                    ),
                ),
            models = listOf(MeasurementSite.model("v1")),
            routes = listOf(Route(RouteId(ROUTE), TrafficClass.INTERACTIVE, model = ModelName(MeasurementSite.MODEL))),
        )

    private fun load(
        targets: List<String>,
        model: String,
        seed: Long,
        seconds: Double,
    ): LoadScenario {
        val promptTree = PromptTree(CUSTOMER, listOf(PromptLevel(8, PROMPT_TOKENS)))
        val stream =
            RequestStream(
                label = "short",
                model = model,
                requestsPerSecond = REQUESTS_PER_SECOND,
                prompts = promptTree,
                suffixTokens = 10,
                answerTokens = 4,
            )
        return LoadScenario(
            name = "overhead",
            seed = seed,
            durationSeconds = WARMUP_SECONDS + seconds,
            warmupSeconds = WARMUP_SECONDS,
            targets = targets,
            customers = listOf(CustomerLoad(CUSTOMER, KEY, listOf(stream))),
        )
    }

    private companion object {
        const val REQUESTS_PER_SECOND: Double = 300.0
        const val WARMUP_SECONDS: Double = 5.0
        const val ENGINES: Int = 6
        const val PROMPT_TOKENS: Int = 40
        const val CUSTOMER: String = "customer"
        const val KEY: String = "measure-key"
        const val ROUTE: String = "tag"
        const val P50: Double = 0.5
        const val P99: Double = 0.99
    }
}
