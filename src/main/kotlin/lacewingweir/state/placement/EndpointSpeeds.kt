/**
 * Learns how fast each endpoint of one service works, from samples of many instances.
 *
 * An engine processes prompts one after the other, and a request waits there behind requests that its instance doesn't
 * know yet. So the time of an engine is not the sum of its requests' times, but the time in which any of them was
 * there. Two periods are kept. The recent one follows slow phases and returns to the lasting speed when it has no
 * samples. Each estimate starts with the weight of a few samples at the level that it falls back to.
 *
 * Whether the engines of a service differ at all is decided by a quantile of the speeds of single samples, which is
 * known after a few of them and hardly depends on slow phases. For other endpoints, whose call times vary much, the
 * lasting period decides.
 */
package lacewingweir.state.placement

import lacewingweir.state.id.EndpointTag
import kotlin.math.exp
import kotlin.math.sqrt

/** Speeds of a service's endpoints in work per millisecond. [samples] were received since the start. */
internal data class SpeedFigures(
    val isUneven: Boolean,
    val lowerQuartile: Double,
    val middle: Double,
    val upperQuartile: Double,
    val samples: Long,
)

/**
 * [typicalWork] is the amount of work of a typical sample. [serial] endpoints work on one request after the other, and
 * others on several at the same time. Not thread-safe; the owner synchronizes.
 *
 * An endpoint that restarts has another tag, so its old samples don't count.
 */
internal class EndpointSpeeds(
    private val typicalWork: Double,
    private val serial: Boolean,
) {
    /** Sums over samples, each with a weight that decreases with its age. */
    private class Sums(
        var work: Double = 0.0,
        var millis: Double = 0.0,
        var samples: Double = 0.0,
    ) {
        fun scale(factor: Double) {
            work *= factor
            millis *= factor
            samples *= factor
        }

        fun add(
            other: Sums,
            factor: Double,
        ) {
            work += other.work * factor
            millis += other.millis * factor
            samples += other.samples * factor
        }

        /** Returns the speed, if [priorWork] at [priorSpeed] is added to the samples. */
        fun speed(
            priorWork: Double,
            priorSpeed: Double,
        ) = (work + priorWork) / (millis + priorWork / priorSpeed)
    }

    private class Estimate(
        var speed: Double,
    ) {
        val history = ArrayDeque<WorkSample>()
        var recent = Sums()
        val lasting = Sums()
        var lastingSpeed = speed

        /** Speed by the quantile of the samples in [history], or null if these are too few. */
        var sampledSpeed: Double? = null
        var samplesSinceQuantile = 0
    }

    private val estimates = HashMap<EndpointTag, Estimate>()
    private val sizes = WorkSizes()
    private val historyMillis = if (serial) HISTORY_MILLIS else RECENT_MILLIS
    private val maxHistory = if (serial) MAX_HISTORY else MAX_RECENT
    private var endpointCount = 0
    private var updatedAtMillis = Long.MIN_VALUE
    private var meanSquareDeviation = if (serial) SERIAL_SQUARE_DEVIATION else INITIAL_SQUARE_DEVIATION
    private var samples = 0L
    private var lowerQuartile = 0.0
    private var upperQuartile = 0.0
    private var fastSpeed = Double.POSITIVE_INFINITY
    private var uneven = false

    /** The median of the lasting speeds, or zero without samples. */
    var middle: Double = 0.0
        private set

    /** Which requests should go to fast endpoints, or null if the sizes of requests are too similar to matter. */
    var sizeSplit: SizeSplit? = null
        private set

    /** Discards the samples of all but [endpoints]. */
    fun retain(endpoints: Set<EndpointTag>) {
        estimates.keys.retainAll(endpoints)
        endpointCount = endpoints.size
    }

    /** Adds a sample: the endpoint did [work] in the [millis] before [endMillis]. */
    fun observe(
        endpoint: EndpointTag,
        work: Double,
        millis: Double,
        endMillis: Long,
        nowMillis: Long,
    ) {
        if (work <= 0.0 || millis <= 0.0) return
        update(nowMillis)
        samples++
        sizes.add(work)
        val estimate = estimates.getOrPut(endpoint) { Estimate(middle) }
        val counted = limitedMillis(estimate, work, millis)
        if (!serial && estimate.speed > 0.0) {
            val deviation = counted * estimate.speed / work - 1.0
            meanSquareDeviation += DEVIATION_SAMPLE_WEIGHT * (deviation * deviation - meanSquareDeviation)
        }
        if (estimate.history.size == maxHistory) estimate.history.removeFirst()
        estimate.history.addLast(WorkSample(work, endMillis - counted, endMillis.toDouble()))
        estimate.samplesSinceQuantile++
    }

    /** Returns [millis], limited so that a single false sample changes an estimate little. */
    private fun limitedMillis(
        estimate: Estimate,
        work: Double,
        millis: Double,
    ): Double {
        if (middle == 0.0) return millis
        val smallWork = minOf(work, typicalWork * MAX_FREE_WORK)
        val speed = maxOf(estimate.speed, estimate.lastingSpeed, middle)
        val minMillis = smallWork / middle / MAX_FACTOR + (work - smallWork) / speed / MAX_LARGE_FACTOR
        return millis.coerceIn(minMillis, work / middle * MAX_FACTOR)
    }

    /** Returns whether the speeds differ so much that endpoints must not be treated as equal. */
    fun isUneven(nowMillis: Long): Boolean {
        update(nowMillis)
        return uneven
    }

    /** Returns the current speed of an endpoint; [middle] without samples. */
    fun speed(endpoint: EndpointTag): Double = estimates[endpoint]?.speed ?: middle

    /** Returns whether the endpoint is one of the fast ones of an uneven service, apart from slow phases. */
    fun isFast(endpoint: EndpointTag): Boolean = (estimates[endpoint]?.lastingSpeed ?: middle) > fastSpeed

    fun figures(nowMillis: Long): SpeedFigures {
        update(nowMillis)
        return SpeedFigures(uneven, lowerQuartile, middle, upperQuartile, samples)
    }

    private fun update(nowMillis: Long) {
        if (updatedAtMillis == Long.MIN_VALUE) updatedAtMillis = nowMillis
        val elapsedMillis = nowMillis - updatedAtMillis
        if (elapsedMillis < UPDATE_PERIOD_MILLIS) return
        updatedAtMillis = nowMillis
        val lastingShare = exp(-elapsedMillis / LASTING_DECAY_MILLIS)
        sizes.scale(lastingShare)
        val minHistory = maxOf(MIN_HISTORY, MIN_SERVICE_HISTORY / endpointCount.coerceAtLeast(1))
        for (estimate in estimates.values) {
            while (estimate.history.isNotEmpty() && estimate.history.first().endMillis < nowMillis - historyMillis) {
                estimate.history.removeFirst()
            }
            estimate.recent = recentSums(estimate.history, nowMillis)
            if (serial) updateSampledSpeed(estimate, minHistory)
            estimate.lasting.scale(lastingShare)
            estimate.lasting.add(estimate.recent, elapsedMillis / RECENT_DECAY_MILLIS)
        }
        val known = estimates.values.filter { it.lasting.millis > 0.0 }
        if (known.isEmpty()) {
            uneven = false
            return
        }
        middle = known.map { it.lasting.work / it.lasting.millis }.sorted().let { it[it.size / 2] }
        val priorWork = PRIOR_SAMPLES * typicalWork
        for (estimate in known) {
            estimate.lastingSpeed = estimate.lasting.speed(priorWork, estimate.sampledSpeed ?: middle)
            estimate.speed = estimate.recent.speed(priorWork, estimate.lastingSpeed)
        }
        updateUneven(known)
    }

    private fun updateSampledSpeed(
        estimate: Estimate,
        minHistory: Int,
    ) {
        val samples = estimate.history.size
        if (samples < minHistory) {
            estimate.sampledSpeed = null
        } else if (estimate.sampledSpeed == null || estimate.samplesSinceQuantile * QUANTILE_SHARE >= samples) {
            estimate.sampledSpeed = serialSpeed(estimate.history)
            estimate.samplesSinceQuantile = 0
        }
    }

    private fun recentSums(
        history: Collection<WorkSample>,
        nowMillis: Long,
    ): Sums {
        val sums = Sums()
        var countedUntil = Double.NEGATIVE_INFINITY
        for (sample in history.filter { it.endMillis >= nowMillis - RECENT_MILLIS }.sortedBy { it.startMillis }) {
            val weight = exp((sample.endMillis - nowMillis) / RECENT_DECAY_MILLIS)
            val from = if (serial) maxOf(sample.startMillis, countedUntil) else sample.startMillis
            sums.work += sample.work * weight
            sums.samples += weight
            if (sample.endMillis > from) {
                sums.millis += (sample.endMillis - from) * weight
                countedUntil = sample.endMillis
            }
        }
        return sums
    }

    /**
     * Decides on engines by the quantiles of their samples, and on other endpoints by the lasting speeds. Either is
     * enough for a service to stay uneven, since slow endpoints get few requests then.
     */
    private fun updateUneven(known: List<Estimate>) {
        val minSamples = if (uneven) MIN_SAMPLES_WHILE_UNEVEN else MIN_SAMPLES
        val sampled = known.filter { it.sampledSpeed != null }
        val lasting = known.filter { it.lasting.samples >= minSamples }
        val bySamples = quartiles(sampled, { it.sampledSpeed ?: middle }, { it.history.size.toDouble() })
        // The variance of a mean with exponential weights is that of one sample, divided by twice the sum of weights.
        val byLasting = quartiles(lasting, { it.lastingSpeed }, { it.lasting.samples * 2 })
        uneven =
            when {
                uneven -> differ(bySamples, EVEN_RATIO) || differ(byLasting, EVEN_RATIO)
                serial -> differ(bySamples, UNEVEN_RATIO)
                else -> differ(byLasting, UNEVEN_RATIO)
            }
        val shown = bySamples ?: byLasting ?: return
        lowerQuartile = shown.lower
        upperQuartile = shown.upper
        fastSpeed = shown.middle
        sizeSplit = if (uneven && serial) sizes.split(shown.fastShare, middle) else null
    }

    private fun differ(
        quartiles: Quartiles?,
        ratio: Double,
    ) = quartiles != null && quartiles.upper >= (ratio + ERROR_FACTOR * quartiles.error) * quartiles.lower

    /** Quartiles of speeds, the share of the faster endpoints in all speeds, and the relative error of one speed. */
    private class Quartiles(
        val lower: Double,
        val upper: Double,
        val fastShare: Double,
        val error: Double,
    ) {
        val middle get() = sqrt(lower * upper)
    }

    /** Returns the quartiles of the speeds of [endpoints], or null if these are too few of the service. */
    private fun quartiles(
        endpoints: List<Estimate>,
        speed: (Estimate) -> Double,
        samples: (Estimate) -> Double,
    ): Quartiles? {
        val minShare = if (serial && !uneven) minOf(endpointCount * MIN_SMALL_SHARE, MIN_ENDPOINTS) else 0.0
        if (endpoints.size < maxOf(2.0, endpointCount * MIN_SAMPLED_SHARE, minShare)) return null
        val sorted = endpoints.map(speed).sorted()
        val lower = sorted[sorted.size / 4]
        val upper = sorted[sorted.size * 3 / 4]
        val fastShare = sorted.filter { it > sqrt(lower * upper) }.sum() / sorted.sum()
        val count = endpoints.map(samples).sorted()[endpoints.size / 2]
        return Quartiles(lower, upper, fastShare, sqrt(meanSquareDeviation / count))
    }

    private companion object {
        /** Slow phases of endpoints last some seconds. */
        const val RECENT_DECAY_MILLIS: Double = 3_000.0
        const val LASTING_DECAY_MILLIS: Double = 30_000.0
        const val UPDATE_PERIOD_MILLIS: Long = 500

        /** Older samples have less than a tenth of the weight of new ones in the recent period. */
        const val RECENT_MILLIS: Long = 8_000
        const val MAX_RECENT: Int = 128

        /** Long enough that two slow phases of 5 s at the same engine are less than two thirds of it. */
        const val HISTORY_MILLIS: Long = 24_000
        const val MAX_HISTORY: Int = 256

        /** A quantile is renewed after one in this number of samples, since it takes a sort of all of them. */
        const val QUANTILE_SHARE: Int = 8

        /** Weight of the level that an estimate falls back to, in typical samples. */
        const val PRIOR_SAMPLES: Double = 3.0

        /** Greatest ratio of a sample's speed and [middle], and the inverse; limits the effect of a false sample. */
        const val MAX_FACTOR: Double = 5.0

        /** Work beyond this number of typical samples counts as done at most this much faster than estimated. */
        const val MAX_FREE_WORK: Double = 4.0
        const val MAX_LARGE_FACTOR: Double = 1.5

        /**
         * Endpoints with fewer lasting samples don't count in the quartiles. Slow endpoints get few requests once the
         * service is uneven.
         */
        const val MIN_SAMPLES: Double = 8.0
        const val MIN_SAMPLES_WHILE_UNEVEN: Double = 1.0

        /**
         * Endpoints with fewer samples in the history don't count, nor do those of a service with fewer in total. In
         * small fleets the quartiles are the speeds of single engines, so each of them needs more samples.
         */
        const val MIN_HISTORY: Int = 3
        const val MIN_SERVICE_HISTORY: Int = 100

        /**
         * The least share of endpoints with samples; [MIN_SMALL_SHARE] applies to engines up to [MIN_ENDPOINTS] of
         * them. With a third of few engines, samples of a single slow one would decide.
         */
        const val MIN_SAMPLED_SHARE: Double = 1.0 / 3
        const val MIN_SMALL_SHARE: Double = 0.8
        const val MIN_ENDPOINTS: Double = 20.0

        /** Ratio of the quartiles from which a service counts as uneven, and the one from which it no longer does. */
        const val UNEVEN_RATIO: Double = 1.25
        const val EVEN_RATIO: Double = 1.15

        /**
         * Standard errors added to the ratio. The quartiles of equal endpoints differ by 1.35 standard errors, and call
         * times of a plain service vary much.
         */
        const val ERROR_FACTOR: Double = 3.0

        /** The sizes of prompts hardly affect the speed of prefill. */
        const val SERIAL_SQUARE_DEVIATION: Double = 0.1
        const val INITIAL_SQUARE_DEVIATION: Double = 4.0
        const val DEVIATION_SAMPLE_WEIGHT: Double = 0.01
    }
}
