/**
 * When the operators set the target weights of each model, as far as this instance knows.
 *
 * The store doesn't record when an item was written, and engines with outdated weights may serve for a limited time
 * after it. An instance that counts this time from when it learned of a target allows too much if it learned late,
 * because it was frozen, cut off or has just started. Each date is therefore a moment before which the target was
 * certainly not set, so that outdated weights are at most used for too short a time.
 */
package lacewingweir.coordination.fleet

import lacewingweir.state.id.ModelName
import lacewingweir.state.id.WeightsNumber
import lacewingweir.state.time.ClockReading
import lacewingweir.state.time.SuspendAwareClock
import java.util.TreeMap

/**
 * What is known about the moment at which a target was set.
 *
 * [watchedAfter] is the last moment at which this instance knew every item of the store, before it learned of the
 * target, or null if it found the target when it started. It then has an [assumed] moment.
 */
private class TargetDate(
    val watchedAfter: ClockReading?,
    var assumed: ClockReading,
) {
    val moment: ClockReading
        get() = watchedAfter ?: assumed
}

internal class TargetDates(
    private val clock: SuspendAwareClock,
) {
    private val byModel = HashMap<ModelName, TreeMap<WeightsNumber, TargetDate>>()

    /** Returns the newest target of [model] that the store has shown. */
    fun newest(model: ModelName): WeightsNumber? = byModel[model]?.lastKey()

    /**
     * Adds a target that the store has shown. [knownAt] is the last moment at which this instance knew every item of
     * the store, or null if it has just started.
     */
    fun add(
        model: ModelName,
        weights: WeightsNumber,
        knownAt: ClockReading?,
    ) {
        val dates = byModel.getOrPut(model) { TreeMap() }
        dates[weights] = TargetDate(knownAt, assumed = clock.now().plus(-ASSUMED_AGE_MILLIS))
        if (dates.size > MAX_DATES) dates.pollFirstEntry()
    }

    /** Dates the newest target of [model] far back unless its age is known, since an engine already runs it. */
    fun assumeLongAgo(model: ModelName) {
        byModel[model]?.lastEntry()?.value?.assumed = clock.now().plus(-LONG_AGO_MILLIS)
    }

    /** Returns the milliseconds since the newest target of [model] was set, at most. */
    fun ageMillis(model: ModelName): Long? = byModel[model]?.lastEntry()?.let { clock.ageMillis(it.value.moment) }

    fun targets(): Map<ModelName, WeightsTarget> =
        byModel.mapValues { (_, dates) ->
            WeightsTarget(dates.lastKey(), dates.map { (weights, date) -> weights to date.moment })
        }

    private companion object {
        /**
         * Assumed age of a target that no engine runs and whose age nobody knows, such as one that was set shortly
         * before all instances ended. No age would allow outdated weights for their whole time again after each
         * restart, and a great one would refuse calls that only outdated weights can serve.
         */
        const val ASSUMED_AGE_MILLIS: Long = 3_000

        /** Exceeds any limit on the time for which outdated weights may serve. */
        const val LONG_AGO_MILLIS: Long = 3_600_000

        /** Exceeds the number of targets set within the time for which an engine may remain outdated. */
        const val MAX_DATES: Int = 64
    }
}
