/**
 * Chooses which engines a request is compared on when instances decide on old views of each other's load.
 *
 * Answers the load of a fleet of many instances under contention: each of them sees the same engine as the least loaded
 * one, for example because it has just loaded new weights, and all send to it until the next digests arrive. A request
 * is therefore compared on a random sample of the engines only, besides those that are likely to cache its prompt. The
 * sample is the smaller the more requests the other instances place unseen.
 */
package lacewingweir.state.placement

import lacewingweir.state.id.EndpointId
import kotlin.math.ceil
import kotlin.random.Random

/**
 * Returns the number of engines that a request is compared on, out of [engines], if its instance doesn't know of
 * [unseenPlacements] that its peers have made since their last digests.
 */
internal fun sampleSize(
    engines: Int,
    unseenPlacements: Double,
): Int = ceil(engines / (1 + unseenPlacements)).toInt().coerceIn(minOf(MIN_SAMPLE, engines), engines)

/** Returns [kept] and up to [size] more of [engines], drawn at random with replacement. */
internal fun sampleCandidates(
    engines: List<EndpointId>,
    kept: Set<EndpointId>,
    size: Int,
    random: Random,
): Set<EndpointId> {
    val sample = LinkedHashSet(kept)
    if (size >= engines.size) return sample.apply { addAll(engines) }
    repeat(size) { sample += engines[random.nextInt(engines.size)] }
    return sample
}

/**
 * Returns the home engines of a shared prefix, highest rendezvous score first.
 *
 * @param load the time that the prefix's requests need at one engine, in seconds of prefill a second
 */
internal fun homeEngines(
    sharedHash: Long,
    engines: List<EndpointId>,
    load: Double,
): List<EndpointId> {
    val count = ceil(load / MAX_HOME_LOAD).toInt().coerceIn(1, engines.size.coerceAtLeast(1))
    if (count == 1) return listOfNotNull(engines.maxByOrNull { rendezvousScore(sharedHash, it) })
    return engines.sortedByDescending { rendezvousScore(sharedHash, it) }.take(count)
}

/**
 * Enough to avoid the most loaded engines, and to meet one with new weights during a rollout. Old views make larger
 * samples worse.
 */
private const val MIN_SAMPLE: Int = 3

/** Part of an engine's prefill time that the requests with one prefix may take up; the rest is for others. */
private const val MAX_HOME_LOAD: Double = 0.4
