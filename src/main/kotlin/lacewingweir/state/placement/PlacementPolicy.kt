package lacewingweir.state.placement

import lacewingweir.state.id.EndpointId
import java.util.SplittableRandom
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

/**
 * Chooses an engine among [EngineSnapshot]s with capacity, or null if there is none. Pure but for [Random].
 *
 * The list is never empty and holds at most one snapshot for each engine.
 */
public typealias PlacementPolicy = (PlacementQuery, List<EngineSnapshot>, Random) -> EndpointId?

/** Policies by the name used in settings and reports. */
public object PlacementPolicies {
    private val roundRobinCounter = AtomicLong()

    /** Least expected time to first token; see [prefixAwarePlacement]. */
    public const val PREFIX_AWARE: String = "prefix-aware"

    /** The policy with this name, or null if there is none. */
    public fun byName(name: String): PlacementPolicy? = all()[name]

    /** All policies. The others than [PREFIX_AWARE] are baselines for measurements. */
    public fun all(): Map<String, PlacementPolicy> =
        mapOf(
            PREFIX_AWARE to ::prefixAwarePlacement,
            "random" to { _, engines, random -> engines.filter { it.hasCapacity }.randomOrNull(random)?.id },
            "round-robin" to { _, engines, _ -> roundRobin(engines) },
            "least-loaded" to { _, engines, random -> leastLoaded(engines, random) },
            "first-piece-hash" to { query, engines, _ -> firstPieceHash(query, engines) },
        )

    private fun roundRobin(engines: List<EngineSnapshot>): EndpointId? {
        val usable = engines.filter { it.hasCapacity }
        if (usable.isEmpty()) return null
        return usable[(roundRobinCounter.getAndIncrement() % usable.size).toInt()].id
    }

    private fun leastLoaded(
        engines: List<EngineSnapshot>,
        random: Random,
    ): EndpointId? =
        engines
            .filter { it.hasCapacity }
            .shuffled(random)
            .minByOrNull { it.runningRequests / it.slots }
            ?.id

    /** Always the same engine for the same first piece, as long as it is up. */
    private fun firstPieceHash(
        query: PlacementQuery,
        engines: List<EngineSnapshot>,
    ): EndpointId? =
        engines
            .maxByOrNull { rendezvousScore(query.prefix.hashes.first(), it.id) }
            ?.takeIf { it.hasCapacity }
            ?.id
}

/**
 * Chooses the engine with the least expected time to first token: the wait for its backlog plus the prefill of the
 * tokens that it has to compute.
 *
 * What an engine holds is known from own answers. Where nothing is known, the engine that rendezvous hashing names for
 * one of the prompt's levels is given the benefit of the doubt, less for deeper levels: all instances then agree on it
 * without any shared state. Requests with a common outer prefix meet on the engine of the outer level until that
 * engine is busier than recomputing costs; then whole subtrees move to the engine of the next level.
 */
public fun prefixAwarePlacement(
    query: PlacementQuery,
    engines: List<EngineSnapshot>,
    random: Random,
): EndpointId? {
    val trust = homeTrust(query, engines)
    val slowestPrefill = engines.maxOf { it.prefillMillisPerToken }
    return engines
        .minBy { engine ->
            val assumed = (trust[engine.id] ?: 0.0) * query.promptTokens
            val missed = (query.promptTokens - maxOf(engine.cachedTokens, assumed)).coerceAtLeast(0.0)
            val tieBreak = random.nextDouble() * TIE_BREAK_TOKENS * slowestPrefill
            expectedWaitMillis(engine) + missed * engine.prefillMillisPerToken + tieBreak
        }.takeIf { it.hasCapacity }
        ?.id
}

private fun expectedWaitMillis(engine: EngineSnapshot): Double {
    val overload = (engine.runningRequests - engine.slots).coerceAtLeast(0.0)
    return engine.backlogTokens * engine.prefillMillisPerToken + overload * OVERLOAD_MILLIS_PER_REQUEST
}

private fun homeTrust(
    query: PlacementQuery,
    engines: List<EngineSnapshot>,
): Map<EndpointId, Double> {
    val trust = HashMap<EndpointId, Double>()
    var levelTrust = OUTER_LEVEL_TRUST
    for (hash in query.prefix.hashes.take(MAX_HOME_LEVELS)) {
        val home = engines.maxBy { rendezvousScore(hash, it.id) }.id
        trust.merge(home, levelTrust, ::maxOf)
        levelTrust *= DEEPER_LEVEL_FACTOR
    }
    return trust
}

/** Rendezvous (highest random weight) score of an engine for a prefix hash. Equal on every instance. */
internal fun rendezvousScore(
    hash: Long,
    engine: EndpointId,
): Long = SplittableRandom(hash xor (engine.value.hashCode().toLong() * SPREAD_MULTIPLIER)).nextLong()

/** Share of the prompt that the outermost level's home engine is assumed to hold when nothing is known. */
private const val OUTER_LEVEL_TRUST: Double = 1.0

/** Factor from one level's trust to the next deeper one's. */
private const val DEEPER_LEVEL_FACTOR: Double = 0.3

/** Levels that have a home engine. Deeper ones follow their parents. */
private const val MAX_HOME_LEVELS: Int = 4

/** Added wait for each request above an engine's slots. */
private const val OVERLOAD_MILLIS_PER_REQUEST: Double = 20.0

/** Random spread between engines of nearly equal cost, so that instances with the same view don't all choose one. */
private const val TIE_BREAK_TOKENS: Double = 100.0

/** Odd constant (golden ratio) that spreads the 32-bit id hash over 64 bits. */
private const val SPREAD_MULTIPLIER: Long = -0x61c8864680b583ebL
