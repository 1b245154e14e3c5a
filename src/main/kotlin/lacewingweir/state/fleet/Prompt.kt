package lacewingweir.state.fleet

import lacewingweir.state.id.ModelName
import lacewingweir.state.id.PartId

/** A part of a prompt that other requests may share. */
internal data class PromptPart(
    val id: String,
    val tokens: Int,
)

/**
 * The prompt of a request to an engine: its [parts] in order, its size, and the greatest size of the answer, in tokens.
 */
internal class Prompt(
    val model: ModelName,
    val inputTokens: Long,
    val maxOutputTokens: Long,
    val parts: List<PromptPart>,
) {
    /**
     * Whether generating the answer may take longer than handing it over to another engine, or than loading weights.
     */
    val longAnswer: Boolean
        get() = maxOutputTokens >= LONG_ANSWER_TOKENS

    /** The ids of the parts that other prompts may share: all but the last. */
    val sharedParts: List<PartId> = parts.dropLast(1).map { PartId(it.id) }

    /**
     * Returns the hashes of the prompt's prefixes, one for each part, shortest prefix first.
     *
     * Two prompts have equal hashes for the parts that they share from the beginning, if [salt] is equal.
     */
    fun prefixHashes(salt: String): LongArray {
        var hash = salt.hashCode().toLong()
        return LongArray(parts.size) { n ->
            hash = mix(hash * MULTIPLIER + parts[n].id.hashCode())
            hash
        }
    }

    private fun mix(value: Long): Long {
        val folded = (value xor (value ushr 32)) * MULTIPLIER
        return folded xor (folded ushr 29)
    }

    private companion object {
        /** Fewer tokens, at a few milliseconds each, are generated in the time of a handover or of loading weights. */
        const val LONG_ANSWER_TOKENS: Long = 150

        /** Odd constant derived from the golden ratio that spreads 32-bit hashes over 64 bits. */
        const val MULTIPLIER: Long = -0x61c8864680b583ebL
    }
}
