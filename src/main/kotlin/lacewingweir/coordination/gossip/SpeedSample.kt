package lacewingweir.coordination.gossip

import kotlinx.serialization.Serializable
import lacewingweir.state.id.EndpointTag

/**
 * A sample of an endpoint's speed: the work that it did in some milliseconds, and how long ago that ended, packed into
 * an integer that takes up nine bytes in a digest. Work is in units of 64 tokens at engines, and of 1/64 of a call at
 * other endpoints. Times are rounded to 4 and 8 ms.
 */
@Serializable
@JvmInline
internal value class SpeedSample(
    private val packed: Long,
) {
    val endpoint: EndpointTag
        get() = EndpointTag((packed shr ENDPOINT_SHIFT).toInt())
    val workUnits: Int
        get() = ((packed shr WORK_SHIFT) and MAX_WORK).toInt()
    val millis: Long
        get() = ((packed shr DURATION_SHIFT) and MAX_DURATION) * DURATION_UNIT_MILLIS
    val ageMillis: Long
        get() = (packed and MAX_AGE) * AGE_UNIT_MILLIS

    companion object {
        private const val ENDPOINT_SHIFT: Int = 32
        private const val WORK_SHIFT: Int = 21
        private const val DURATION_SHIFT: Int = 9
        private const val MAX_WORK: Long = 0x7ff
        private const val MAX_DURATION: Long = 0xfff
        private const val MAX_AGE: Long = 0x1ff
        private const val DURATION_UNIT_MILLIS: Long = 4
        private const val AGE_UNIT_MILLIS: Long = 8

        /** Returns a sample, or null if its work is too small or too large. Longer times are cut to the greatest. */
        fun of(
            endpoint: EndpointTag,
            workUnits: Long,
            millis: Long,
            ageMillis: Long,
        ): SpeedSample? {
            if (workUnits !in 1..MAX_WORK) return null
            val duration = ((millis + DURATION_UNIT_MILLIS / 2) / DURATION_UNIT_MILLIS).coerceIn(1, MAX_DURATION)
            val age = ((ageMillis + AGE_UNIT_MILLIS / 2) / AGE_UNIT_MILLIS).coerceIn(0, MAX_AGE)
            val high = (endpoint.value.toLong() shl ENDPOINT_SHIFT) or (workUnits shl WORK_SHIFT)
            return SpeedSample(high or (duration shl DURATION_SHIFT) or age)
        }
    }
}
