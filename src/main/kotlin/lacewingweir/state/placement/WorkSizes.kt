package lacewingweir.state.placement

import kotlin.math.floor
import kotlin.math.log2
import kotlin.math.pow

/**
 * Requests of more than [work] should go to fast endpoints and others to slow ones. [mismatchMillis] is the cost that
 * another choice counts with in addition.
 */
internal class SizeSplit(
    val work: Double,
    val mismatchMillis: Double,
)

/** Distribution of the work of recent requests over their sizes, as a histogram. */
internal class WorkSizes {
    private val work = DoubleArray(BUCKETS)
    private val requests = DoubleArray(BUCKETS)

    fun add(size: Double) {
        val bucket = floor(log2(size.coerceAtLeast(1.0)) * BUCKETS_PER_OCTAVE).toInt().coerceAtMost(BUCKETS - 1)
        work[bucket] += size
        requests[bucket]++
    }

    /** Multiplies the counts of past requests by [factor]. */
    fun scale(factor: Double) {
        for (bucket in 0 until BUCKETS) {
            work[bucket] *= factor
            requests[bucket] *= factor
        }
    }

    /**
     * Returns the split by which the requests above it have [fastShare] of all work, which is the share that fast
     * endpoints can do. Returns null if the requests above it are not much larger than those below.
     *
     * @param middle the work that an endpoint of medium speed does in a millisecond
     */
    fun split(
        fastShare: Double,
        middle: Double,
    ): SizeSplit? {
        val target = work.sum() * fastShare
        var above = 0.0
        var bucket = BUCKETS - 1
        while (bucket > 0 && above + work[bucket] < target) above += work[bucket--]
        if (work[bucket] == 0.0) return null
        val partAbove = (target - above) / work[bucket]
        val requestsAbove = (bucket + 1 until BUCKETS).sumOf { requests[it] } + partAbove * requests[bucket]
        val requestsBelow = requests.sum() - requestsAbove
        if (requestsAbove <= 0.0 || requestsBelow <= 0.0) return null
        val meanAbove = target / requestsAbove
        val meanBelow = (work.sum() - target) / requestsBelow
        if (meanAbove < meanBelow * MIN_SIZE_RATIO) return null
        val split = 2.0.pow((bucket + 1 - partAbove) / BUCKETS_PER_OCTAVE)
        return SizeSplit(split, mismatchMillis = meanAbove / middle * MISMATCH_SHARE)
    }

    private companion object {
        const val BUCKETS_PER_OCTAVE: Int = 3
        const val BUCKETS: Int = 60

        /** Ratio of mean sizes from which waiting behind large requests is worse for small ones than slow endpoints. */
        const val MIN_SIZE_RATIO: Double = 2.5

        /** On average, a small request behind a large one waits for half of its time. */
        const val MISMATCH_SHARE: Double = 0.5
    }
}
