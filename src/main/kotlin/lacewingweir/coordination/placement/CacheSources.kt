/**
 * Finds for each engine the other one from which it should copy the cached parts of a prompt.
 *
 * Answers the load of large fleets, in which each placement compares all engines: one pass finds the sources of all of
 * them, instead of one pass for each.
 */
package lacewingweir.coordination.placement

import lacewingweir.state.id.SoftwareVersion
import lacewingweir.state.id.WeightsNumber

/** [cached] are the tokens of the prompt that each engine caches. Sources must cache at least [minTokens]. */
internal class CacheSources(
    private val cached: Map<EndpointState, Double>,
    minTokens: Double,
) {
    /** What engines of different weights or software versions write doesn't fit together. */
    private data class Kind(
        val weights: WeightsNumber?,
        val software: SoftwareVersion,
    )

    /** The two engines that cache most. [second] is the source of [first] itself. */
    private class Leaders(
        var first: EndpointState,
        var second: EndpointState? = null,
    )

    private val leaders = HashMap<Kind, Leaders>()

    init {
        for ((state, tokens) in cached) if (tokens >= minTokens) add(state, tokens)
    }

    private fun add(
        state: EndpointState,
        tokens: Double,
    ) {
        val kind = kindOf(state) ?: return
        val known = leaders.putIfAbsent(kind, Leaders(state)) ?: return
        val second = known.second
        if (tokens > tokensOf(known.first)) {
            known.second = known.first
            known.first = state
        } else if (second == null || tokens > tokensOf(second)) {
            known.second = state
        }
    }

    private fun kindOf(state: EndpointState) = state.entry.software?.let { Kind(state.weights(), it) }

    private fun tokensOf(state: EndpointState) = cached.getValue(state)

    /**
     * Returns the other engine of the same weights and software that caches most of the prompt, or null if none
     * caches enough.
     */
    fun sourceFor(state: EndpointState): EndpointState? {
        val found = kindOf(state)?.let(leaders::get) ?: return null
        return if (found.first === state) found.second else found.first
    }
}
