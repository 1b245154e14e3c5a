package lacewingweir.load

import kotlinx.serialization.Serializable

/** One level of a [PromptTree]: [fanout] different continuations of [tokens] tokens each. */
@Serializable
public data class PromptLevel(
    val fanout: Int,
    val tokens: Int,
)
