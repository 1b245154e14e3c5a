package lacewingweir.state.id

import kotlinx.serialization.Serializable

/** Identifies what the crash of an endpoint may be blamed on: a part of prompts, or a whole request. */
@Serializable
@JvmInline
internal value class SuspectId(
    val value: String,
) {
    /** The part, or null if this is a request. */
    val part: PartId?
        get() = if (value.startsWith(PART_PREFIX)) PartId(value.removePrefix(PART_PREFIX)) else null

    /** The request, or null if this is a part. */
    val request: RequestFingerprint?
        get() =
            if (value.startsWith(REQUEST_PREFIX)) RequestFingerprint(value.removePrefix(REQUEST_PREFIX)) else null

    override fun toString(): String = value

    companion object {
        private const val PART_PREFIX = "p/"
        private const val REQUEST_PREFIX = "r/"

        fun of(part: PartId): SuspectId = SuspectId(PART_PREFIX + part.value)

        fun of(request: RequestFingerprint): SuspectId = SuspectId(REQUEST_PREFIX + request.value)
    }
}
