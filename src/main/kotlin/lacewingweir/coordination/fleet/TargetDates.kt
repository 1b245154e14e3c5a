/**
 * When the operators set the target weights of each model, as far as this instance knows.
 *
 * The store doesn't record when an item was written, and engines with outdated weights may serve for a limited time
 * after it. An instance that counts this time from when it learned of a target allows too much if it learned late,
 * because it was frozen, cut off or has just started. Each date is therefore a moment before which the target was
 * certainly not set, so that outdated weights are at most used for too short a time. Of several such moments, those of
 * this instance and of its peers, the latest is the best one.
 */
package lacewingweir.coordination.fleet

import lacewingweir.state.fleet.TargetAge
import lacewingweir.state.fleet.TargetMoment
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.WeightsNumber
import lacewingweir.state.time.ClockReading
import lacewingweir.state.time.SuspendAwareClock
import java.util.TreeMap

internal class TargetDates(
    private val clock: SuspendAwareClock,
) {
    private val byModel = HashMap<ModelName, TreeMap<WeightsNumber, TargetDate>>()

    /** Returns the newest target of [model] that the store has shown. */
    fun newest(model: ModelName): WeightsNumber? = byModel[model]?.lastKey()

    /**
     * Adds a target that the store has shown. [knownAt] is the last moment at which this instance knew every item of
     * the store, or null if it has just started.
     *
     * After an outage of the store ([afterFailures]) that moment says little. Dating the target back into the outage
     * would leave all instances without engines that they may use, although it may have been set only now.
     */
    fun add(
        model: ModelName,
        weights: WeightsNumber,
        knownAt: ClockReading?,
        afterFailures: Boolean = false,
    ) {
        val now = clock.now()
        val watchedAfter = knownAt?.takeUnless { afterFailures && isLongBefore(it, now) }
        addDate(model, weights, TargetDate(clock, now, watchedAfter, assumed = now.plus(-ASSUMED_AGE_MILLIS)))
    }

    private fun isLongBefore(
        moment: ClockReading,
        later: ClockReading,
    ) = moment.wallMillis < later.wallMillis - ASSUMED_AGE_MILLIS ||
        moment.monotonicMillis < later.monotonicMillis - ASSUMED_AGE_MILLIS

    private fun addDate(
        model: ModelName,
        weights: WeightsNumber,
        date: TargetDate,
    ) {
        val dates = byModel.getOrPut(model) { TreeMap() }
        dates[weights] = date
        if (dates.size > MAX_DATES) dates.pollFirstEntry()
    }

    /** Dates the newest target of [model] far back unless its age is known, since an engine already runs it. */
    fun assumeLongAgo(model: ModelName) {
        byModel[model]?.lastEntry()?.value?.assumed = clock.now().plus(-LONG_AGO_MILLIS)
    }

    /**
     * Takes over the age of a target that [peer] has told. Returns whether this changes its date.
     *
     * It may be a target that was followed by another one before this instance started. Targets that the store hasn't
     * shown yet are ignored; the peer tells them again.
     */
    fun onTold(
        peer: String,
        age: TargetAge,
    ): Boolean {
        val weights = WeightsNumber(age.weights)
        return dateOf(age.model, weights)?.onTold(peer, age.ageMillis) ?: false
    }

    /** Takes over the moment of a target that the store has kept. Returns whether this changes its date. */
    fun onStored(target: TargetMoment): Boolean =
        dateOf(target.model, target.weights)?.onStored(target.unixMillis) ?: false

    /** Returns the date of a target up to the newest one of its model, or null if the store hasn't shown it yet. */
    private fun dateOf(
        model: ModelName,
        weights: WeightsNumber,
    ): TargetDate? {
        val dates = byModel[model] ?: return null
        val next = dates.ceilingEntry(weights) ?: return null
        if (next.key != weights) addDate(model, weights, TargetDate(clock, next.value.learnedAt))
        return dates[weights]
    }

    /**
     * Returns the youngest targets whose age this instance has observed itself, for its peers. One that it learned of
     * long after its last contact isn't among them, since the age of such a target is known too badly.
     */
    fun observedAges(): List<TargetAge> =
        byModel
            .flatMap { (model, dates) ->
                dates.mapNotNull { (weights, date) ->
                    date.watchedAfter
                        ?.takeUnless { isLongBefore(it, date.learnedAt) }
                        ?.let { TargetAge(model, weights.value, clock.ageMillis(it)) }
                }
            }.filter { it.ageMillis < MAX_TOLD_AGE_MILLIS }
            .sortedBy { it.ageMillis }
            .take(MAX_TOLD)

    /** Returns how long ago the target was set at most, or null if it is unknown. */
    fun ageMillis(
        model: ModelName,
        weights: WeightsNumber,
    ): Long? = byModel[model]?.get(weights)?.moment?.let(clock::ageMillis)

    fun targets(): Map<ModelName, WeightsTarget> =
        byModel.mapValues { (_, dates) ->
            WeightsTarget(
                dates.lastKey(),
                dates.mapNotNull { (weights, date) -> date.moment?.let { weights to it } },
            )
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

        /** Exceeds the limit for outdated weights by far; older targets need no exact date. */
        const val MAX_TOLD_AGE_MILLIS: Long = 60_000

        /** Bounds the digests while targets are set in quick succession. */
        const val MAX_TOLD: Int = 8
    }
}
