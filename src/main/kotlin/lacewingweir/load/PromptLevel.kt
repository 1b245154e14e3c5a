package lacewingweir.load

import kotlinx.serialization.Serializable

/** A level of a [PromptTree]: each node of the level above has [fanout] children with [tokens] tokens each. */
@Serializable
public data class PromptLevel(
    val fanout: Int,
    val tokens: Int,
)
