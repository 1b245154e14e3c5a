package lacewingweir.state.placement

import lacewingweir.state.id.EndpointId
import java.util.SplittableRandom
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

/**
 * Chooses an engine with capacity from [EngineSnapshot]s, or returns null if it finds none.
 *
 * The list must not be empty and must have at most one snapshot for each engine.
 */
public typealias PlacementPolicy = (PlacementQuery, List<EngineSnapshot>, Random) -> EndpointId?

/** The policies by their names in settings and reports. */
public object PlacementPolicies {
    private val roundRobinCounter = AtomicLong()

    /** The name of [prefixAwarePlacement]. */
    public const val PREFIX_AWARE: String = "prefix-aware"

    /** Returns the policy with this name, or null if there is none. */
    public fun byName(name: String): PlacementPolicy? = all()[name]

    /** Returns all policies by name. Those other than [PREFIX_AWARE] are baselines for measurements. */
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

    /** Returns the same engine for the same first piece, or null if that engine has no capacity. */
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
 * Chooses the engine with the shortest expected time to first token: the wait for its backlog plus the prefill time of
 * the uncached tokens. Returns null if that engine has no capacity.
 *
 * Cached tokens are known from answers to this instance. In addition, rendezvous hashing selects a home engine for each
 * of the prompt's outer levels, which is assumed to cache a share of the prompt that decreases with depth. All
 * instances thus agree on the home engines without shared state. Requests with a common outer prefix go to the home
 * engine of the outer level until its backlog costs more than repeating the prefill; then whole subtrees move to the
 * home engine of the next level.
 */
public fun prefixAwarePlacement(
    query: PlacementQuery,
    engines: List<EngineSnapshot>,
    random: Random,
): EndpointId? {
    val homeShares = assumedHomeShares(query, engines)
    val slowestPrefill = engines.maxOf { it.prefillMillisPerToken }
    return engines
        .minBy { engine ->
            val assumed = (homeShares[engine.id] ?: 0.0) * query.promptTokens
            val uncached = (query.promptTokens - maxOf(engine.cachedTokens, assumed)).coerceAtLeast(0.0)
            val tieBreak = random.nextDouble() * TIE_BREAK_TOKENS * slowestPrefill
            expectedWaitMillis(engine) + uncached * engine.prefillMillisPerToken + tieBreak
        }.takeIf { it.hasCapacity }
        ?.id
}

private fun expectedWaitMillis(engine: EngineSnapshot): Double {
    val overload = (engine.runningRequests - engine.slots).coerceAtLeast(0.0)
    return engine.backlogTokens * engine.prefillMillisPerToken + overload * OVERLOAD_MILLIS_PER_REQUEST
}

private fun assumedHomeShares(
    query: PlacementQuery,
    engines: List<EngineSnapshot>,
): Map<EndpointId, Double> {
    val homeShares = HashMap<EndpointId, Double>()
    var levelShare = OUTER_LEVEL_SHARE
    for (hash in query.prefix.hashes.take(MAX_HOME_LEVELS)) {
        val home = engines.maxBy { rendezvousScore(hash, it.id) }.id
        homeShares.merge(home, levelShare, ::maxOf)
        levelShare *= DEEPER_LEVEL_FACTOR
    }
    return homeShares
}

/** Returns the rendezvous (highest random weight) score of an engine for a prefix hash. Equal on every instance. */
internal fun rendezvousScore(
    hash: Long,
    engine: EndpointId,
): Long = SplittableRandom(hash xor (engine.value.hashCode().toLong() * HASH_MULTIPLIER)).nextLong()

/** Least share of the prompt that the home engine of the outermost level is assumed to cache. */
private const val OUTER_LEVEL_SHARE: Double = 1.0

/** Factor by which the assumed share decreases from one level to the next deeper level. */
private const val DEEPER_LEVEL_FACTOR: Double = 0.3

/** Number of outer levels that have a home engine. Deeper levels share the engine of their parent. */
private const val MAX_HOME_LEVELS: Int = 4

/** Added wait for each request above an engine's slots. */
private const val OVERLOAD_MILLIS_PER_REQUEST: Double = 20.0

/** Upper bound of a random cost, so that instances with the same view spread over engines of similar cost. */
private const val TIE_BREAK_TOKENS: Double = 100.0

/** Odd constant derived from the golden ratio that spreads the 32-bit hash of the id over 64 bits. */
private const val HASH_MULTIPLIER: Long = -0x61c8864680b583ebL
