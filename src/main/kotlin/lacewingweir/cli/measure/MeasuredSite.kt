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
 * A fleet of the sizes of section 1.4 of the design and its load.
 *
 * [requestsPerSecond] is the sum over all customers; each sends 90% of its rate.
 */
internal enum class MeasuredSite(
    val label: String,
    private val engineCount: Int,
    private val domains: List<String>,
    private val maxConcurrentLoads: Int,
    private val requestsPerSecond: Double,
) {
    AGENCE("agence", 6, listOf("liege", "charleroi", "namur"), 2, 60.0),
    PETRA("petra", 13, listOf("zone-a", "zone-b", "zone-c", "zone-d"), 3, 130.0),
    ;

    /** Pieces that all engines' caches hold together. */
    val totalCachePieces: Int
        get() = engineCount * CACHE_PIECES

    /** Indexes of the engines of the first failure domain. */
    val firstDomainEngines: List<Int>
        get() = (0 until engineCount).filter { it % domains.size == 0 }

    /** The fleet with this policy. A positive [firstCallerPort] keeps callers' ports over restarts. */
    fun fleet(
        policy: PlacementPolicy,
        firstCallerPort: Int,
    ): EmbeddedFleetOptions =
        EmbeddedFleetOptions(
            instances = INSTANCES,
            engines = List(engineCount) { engine },
            failureDomains = domains,
            customers = SHARES.keys.map(::customer),
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
        val requests = requestsPerSecond * SHARES.getValue(name)
        val rate = (requests * TOKENS_PER_REQUEST / SHARE_OF_RATE).toLong()
        return Customer(
            id = CustomerId(name),
            tokensPerSecond = rate,
            burstTokens = rate * BURST_SECONDS,
            keys = listOf(KeyDirectory.digestOf(key(name))),
        )
    }

    /** The load of all customers; from [surgeFromSeconds] on, [FLOODING_CUSTOMER] sends five times as much. */
    fun load(
        scenario: MeasuredScenario,
        surgeFromSeconds: Double,
    ): List<CustomerLoad> =
        SHARES.map { (name, share) ->
            val floods = scenario == MeasuredScenario.FLOOD && name == FLOODING_CUSTOMER
            val tree =
                PromptTree(
                    namespace = name,
                    levels = FANOUTS.map { PromptLevel(it, PIECE_TOKENS) },
                    shiftSeconds = if (scenario == MeasuredScenario.HOT_SHIFT) SHIFT_SECONDS else 0.0,
                )

            fun stream(
                label: String,
                route: String,
                part: Double,
            ) = RequestStream(
                label = label,
                model = route,
                requestsPerSecond = requestsPerSecond * share * part,
                prompts = tree,
                answerTokens = ANSWER_TOKENS,
                surgeFactor = if (floods) FLOOD_FACTOR / SHARE_OF_RATE else 1.0,
                surgeFromSeconds = surgeFromSeconds,
                surgeToSeconds = Double.MAX_VALUE,
            )
            val streams =
                listOf(
                    stream(INTERACTIVE_LABEL, INTERACTIVE_ROUTE, 1.0 - BATCH_PART),
                    stream(BATCH_LABEL, BATCH_ROUTE, BATCH_PART),
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

        /** The balancer's weights for the instances: uneven, as section 1.3 asks for wrongful refusals. */
        val BALANCER_WEIGHTS: List<Double> = listOf(3.0, 2.0, 1.0, 1.0, 1.0, 1.0, 1.0)

        private const val INTERACTIVE_ROUTE: String = "grade-tag"
        private const val BATCH_ROUTE: String = "grade-review"
        private const val BATCH_LABEL: String = "batch"
        private const val BATCH_PART: Double = 0.2
        private const val CACHE_PIECES: Int = 80
        private const val ANSWER_TOKENS: Int = 16
        private const val SHARE_OF_RATE: Double = 0.9
        private const val FLOOD_FACTOR: Double = 5.0
        private const val BURST_SECONDS: Long = 10
        private const val SHIFT_SECONDS: Double = 3.0

        /** Continuations at each level of the nested prompts, one piece each. */
        private val FANOUTS: List<Int> = listOf(2, 4, 6, 6)
        private val SHARES: Map<String, Double> =
            mapOf(
                "customer-1" to 0.35,
                "customer-2" to 0.25,
                FLOODING_CUSTOMER to 0.2,
                "customer-4" to 0.15,
                "customer-5" to 0.05,
            )
        private val TOKENS_PER_REQUEST: Int = FANOUTS.size * PIECE_TOKENS + 55 + ANSWER_TOKENS
        private val engine =
            StandinEngineOptions(
                models = listOf(StandinModel(MODEL, "v1")),
                cachePieces = CACHE_PIECES,
                pieceTokens = PIECE_TOKENS,
                idleEvictionMillis = IDLE_EVICTION_MILLIS,
                prefillMillisPerPiece = 40,
            )

        fun byLabel(label: String): MeasuredSite? = entries.firstOrNull { it.label == label }

        fun model(weights: String): Model = Model(ModelName(MODEL), WeightsVersion(weights))

        private fun key(customer: String): String = "measure-key-$customer"
    }
}
