package lacewingweir.cli.measure

import lacewingweir.cli.demo.EmbeddedFleetOptions
import lacewingweir.load.CustomerLoad
import lacewingweir.load.PromptLevel
import lacewingweir.load.PromptTree
import lacewingweir.load.RequestStream
import lacewingweir.standin.engine.StandinEngineOptions
import lacewingweir.standin.engine.StandinModel
import lacewingweir.state.bundle.Customer
import lacewingweir.state.bundle.Model
import lacewingweir.state.bundle.Route
import lacewingweir.state.bundle.TrafficClass
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.RouteId
import lacewingweir.state.id.WeightsVersion
import lacewingweir.state.keys.KeyDirectory
import lacewingweir.state.placement.PlacementPolicy

/**
 * A fleet with the size of an existing site, together with its load.
 *
 * [engineCount] engines are spread over the failure domains [domains], and at most [maxConcurrentLoads] of them load
 * weights at the same time. [requestsPerSecond] is the load of all customers together. Each customer sends 90% of its
 * permitted rate unless the scenario says otherwise.
 */
internal enum class MeasurementSite(
    val label: String,
    private val engineCount: Int,
    private val domains: List<String>,
    private val maxConcurrentLoads: Int,
    private val requestsPerSecond: Double,
) {
    AGENCE("agence", 6, listOf("liege", "charleroi", "namur"), 2, 60.0),
    PETRA("petra", 13, listOf("zone-a", "zone-b", "zone-c", "zone-d"), 3, 130.0),
    ;

    /** The number of pieces that the caches of all engines hold together. */
    val totalCachePieces: Int
        get() = engineCount * CACHE_PIECES

    /** The indexes of the engines in the first failure domain. */
    val firstDomainEngines: List<Int>
        get() = (0 until engineCount).filter { it % domains.size == 0 }

    /**
     * Returns the options of the fleet with this placement [policy].
     *
     * With a positive [firstCallerPort], instances keep their caller ports when they are restarted; with zero, each
     * start binds a free port.
     */
    fun fleet(
        policy: PlacementPolicy,
        firstCallerPort: Int,
    ): EmbeddedFleetOptions =
        EmbeddedFleetOptions(
            instances = INSTANCES,
            engines = List(engineCount) { engineOptions },
            failureDomains = domains,
            customers = LOAD_SHARES.keys.map(::customer),
            models = listOf(model("v1")),
            routes =
                listOf(
                    Route(RouteId(INTERACTIVE_ROUTE), TrafficClass.INTERACTIVE, model = ModelName(MODEL)),
                    Route(RouteId(BATCH_ROUTE), TrafficClass.BATCH, model = ModelName(MODEL)),
                ),
            maxConcurrentLoads = maxConcurrentLoads,
            firstCallerPort = firstCallerPort,
            policy = policy,
        )

    private fun customer(name: String): Customer {
        val customerRequestsPerSecond = requestsPerSecond * LOAD_SHARES.getValue(name)
        val tokensPerSecond = (customerRequestsPerSecond * TOKENS_PER_REQUEST / RATE_UTILIZATION).toLong()
        return Customer(
            id = CustomerId(name),
            tokensPerSecond = tokensPerSecond,
            burstTokens = tokensPerSecond * BURST_SECONDS,
            keys = listOf(KeyDirectory.digestOf(key(name))),
        )
    }

    /**
     * Returns the load of all customers.
     *
     * In [MeasurementScenario.FLOOD], [FLOODING_CUSTOMER] sends [FLOOD_FACTOR] times its permitted rate from
     * [surgeFromSeconds] on.
     */
    fun load(
        scenario: MeasurementScenario,
        surgeFromSeconds: Double,
    ): List<CustomerLoad> =
        LOAD_SHARES.map { (name, share) ->
            val floods = scenario == MeasurementScenario.FLOOD && name == FLOODING_CUSTOMER
            val promptTree =
                PromptTree(
                    namespace = name,
                    levels = FANOUTS.map { PromptLevel(it, PIECE_TOKENS) },
                    shiftSeconds = if (scenario == MeasurementScenario.HOT_SHIFT) SHIFT_SECONDS else 0.0,
                )

            fun stream(
                label: String,
                route: String,
                fraction: Double,
            ) = RequestStream(
                label = label,
                model = route,
                requestsPerSecond = requestsPerSecond * share * fraction,
                prompts = promptTree,
                answerTokens = ANSWER_TOKENS,
                surgeFactor = if (floods) FLOOD_FACTOR / RATE_UTILIZATION else 1.0,
                surgeFromSeconds = surgeFromSeconds,
                surgeToSeconds = Double.MAX_VALUE,
            )
            val streams =
                listOf(
                    stream(INTERACTIVE_LABEL, INTERACTIVE_ROUTE, 1.0 - BATCH_FRACTION),
                    stream(BATCH_LABEL, BATCH_ROUTE, BATCH_FRACTION),
                )
            CustomerLoad(name, key(name), streams)
        }

    companion object {
        const val PIECE_TOKENS: Int = 2_000
        const val INTERACTIVE_LABEL: String = "interactive"
        const val FLOODING_CUSTOMER: String = "customer-3"
        const val MODEL: String = "grade"
        const val IDLE_EVICTION_MILLIS: Long = 4_000
        const val INSTANCES: Int = 7

        /** The load balancer's weights of the instances; uneven, because wrongful refusals must be rare even then. */
        val BALANCER_WEIGHTS: List<Double> = listOf(3.0, 2.0, 1.0, 1.0, 1.0, 1.0, 1.0)

        private const val INTERACTIVE_ROUTE: String = "grade-tag"
        private const val BATCH_ROUTE: String = "grade-review"
        private const val BATCH_LABEL: String = "batch"
        private const val BATCH_FRACTION: Double = 0.2
        private const val CACHE_PIECES: Int = 80
        private const val ANSWER_TOKENS: Int = 16
        private const val RATE_UTILIZATION: Double = 0.9
        private const val FLOOD_FACTOR: Double = 5.0
        private const val BURST_SECONDS: Long = 10
        private const val SHIFT_SECONDS: Double = 3.0

        /** The number of children of each node, by level of the prompt tree. Every node adds one piece to a prompt. */
        private val FANOUTS: List<Int> = listOf(2, 4, 6, 6)
        private val LOAD_SHARES: Map<String, Double> =
            mapOf(
                "customer-1" to 0.35,
                "customer-2" to 0.25,
                FLOODING_CUSTOMER to 0.2,
                "customer-4" to 0.15,
                "customer-5" to 0.05,
            )

        /** The pieces of the prompt, about 55 tokens after them, and the answer. */
        private val TOKENS_PER_REQUEST: Int = FANOUTS.size * PIECE_TOKENS + 55 + ANSWER_TOKENS
        private val engineOptions =
            StandinEngineOptions(
                models = listOf(StandinModel(MODEL, "v1")),
                cachePieces = CACHE_PIECES,
                pieceTokens = PIECE_TOKENS,
                idleEvictionMillis = IDLE_EVICTION_MILLIS,
                prefillMillisPerPiece = 40,
            )

        fun byLabel(label: String): MeasurementSite? = entries.firstOrNull { it.label == label }

        fun model(weights: String): Model = Model(ModelName(MODEL), WeightsVersion(weights))

        private fun key(customer: String): String = "measure-key-$customer"
    }
}
