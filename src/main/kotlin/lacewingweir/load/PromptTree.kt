package lacewingweir.load

import kotlinx.serialization.Serializable

/**
 * A tree of prompt prefixes. A prompt consists of the texts on a path from the root to a leaf.
 *
 * @property namespace the seed of the texts. Trees with different namespaces have no common prefixes.
 * @property skew the exponent of the Zipf distribution by which the children of a node are chosen, so that a few
 *   prefixes are frequent.
 * @property shiftSeconds the interval after which the ranks of the children are rotated, so that other prefixes become
 *   frequent. Zero disables the rotation.
 */
@Serializable
public data class PromptTree(
    val namespace: String,
    val levels: List<PromptLevel>,
    val skew: Double = 1.0,
    val shiftSeconds: Double = 0.0,
)
