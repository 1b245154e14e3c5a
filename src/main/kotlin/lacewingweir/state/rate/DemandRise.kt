package lacewingweir.state.rate

import kotlin.math.exp

/**
 * Estimates by which factor the demand at peers has risen since their last digests, from the change of demand in the
 * digests that arrived most recently. Digests arrive one after the other, so after a part of an interval the first ones
 * show a rise that affects all instances.
 */
internal class DemandRise {
    private var before = 0.0
    private var after = 0.0
    private var lastMillis = Long.MIN_VALUE
    private var timeConstantMillis = 1.0

    /** Adds a digest whose sender's demand changed from [previousDemand] to [demand]. */
    fun add(
        previousDemand: Double,
        demand: Double,
        nowMillis: Long,
        intervalMillis: Long,
    ) {
        decay(nowMillis)
        timeConstantMillis = maxOf(1.0, intervalMillis * INTERVAL_PART)
        before += previousDemand
        after += demand
    }

    /** Returns the factor, at least one. [demand] is the sum of the last reported demands of all peers. */
    fun factor(
        demand: Double,
        nowMillis: Long,
    ): Double {
        decay(nowMillis)
        val damping = demand * DAMPING
        if (damping <= 0.0) return 1.0
        return ((after + damping) / (before + damping)).coerceIn(1.0, MAX_FACTOR)
    }

    private fun decay(nowMillis: Long) {
        if (nowMillis <= lastMillis) return
        if (lastMillis != Long.MIN_VALUE) {
            val kept = exp((lastMillis - nowMillis) / timeConstantMillis)
            before *= kept
            after *= kept
        }
        lastMillis = nowMillis
    }

    private companion object {
        /** Part of the digest interval over which changes are averaged. */
        const val INTERVAL_PART: Double = 0.25

        /** Part of the fleet's demand that counts as unchanged, since the digests of few instances vary by chance. */
        const val DAMPING: Double = 0.25

        /** A customer's greatest expected flood, as a multiple of its usual volume. */
        const val MAX_FACTOR: Double = 6.0
    }
}
