package lacewingweir.load

import kotlinx.serialization.Serializable

/**
 * Prefixes nested in levels: every node of a level has [PromptLevel.fanout] children below it.
 *
 * Children are drawn by Zipf's law with exponent [skew], so that a few are hot. Every [shiftSeconds] (zero: never) the
 * ranks are rotated, which makes other prefixes hot. Trees with different [namespace] share nothing.
 */
@Serializable
public data class PromptTree(
    val namespace: String,
    val levels: List<PromptLevel>,
    val skew: Double = 1.0,
    val shiftSeconds: Double = 0.0,
)
