package lacewingweir.coordination.placement

import lacewingweir.coordination.gossip.PrefilledPrefix
import lacewingweir.state.id.EndpointTag

/**
 * Shared prompt prefixes that engines have processed for this instance since its last digest. Not thread-safe; the
 * owner synchronizes.
 */
internal class RecentPrefills {
    private val prefills = ArrayDeque<PrefilledPrefix>()

    fun add(
        engine: EndpointTag,
        prefilled: PrefilledParts,
    ) {
        // The last part is specific to the request.
        for (n in 0 until prefilled.prefixHashes.size - 1) {
            if (prefills.size == MAX_PREFILLS) prefills.removeFirst()
            prefills.addLast(PrefilledPrefix(engine, prefilled.prefixHashes[n], prefilled.partTokens[n]))
        }
    }

    /** Returns the prefills since the last call. */
    fun take(): List<PrefilledPrefix> = prefills.toList().also { prefills.clear() }

    private companion object {
        /** Limits the size of a digest to a few kilobytes. */
        const val MAX_PREFILLS: Int = 128
    }
}
