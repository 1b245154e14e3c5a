package lacewingweir.coordination.placement

import lacewingweir.coordination.fleet.WeightsTarget
import lacewingweir.state.id.WeightsNumber
import lacewingweir.state.time.SuspendAwareClock

/**
 * How long older weights may still serve after newer ones were named.
 *
 * For a short time they are as good as new. Then they count as worse, so that requests move to engines that have
 * loaded the new ones, and after [limitMillis] nothing is sent to them.
 */
internal class WeightsAgePolicy(
    private val clock: SuspendAwareClock,
    private val limitMillis: () -> Long,
) {
    fun allowed(
        weights: WeightsNumber?,
        target: WeightsTarget?,
    ): Boolean = outdatedMillis(weights, target) < limitMillis() - LIMIT_MARGIN_MILLIS

    /** The cost of older weights for a short or a [longAnswer]. */
    fun penaltyMillis(
        weights: WeightsNumber?,
        target: WeightsTarget?,
        longAnswer: Boolean,
    ): Double =
        when {
            target?.outdatedSince(weights) == null -> 0.0
            // The engine has to wait for a long answer, or hand it over, before it can load.
            longAnswer -> OLD_WEIGHTS_LONG_MILLIS
            outdatedMillis(weights, target) < FRESH_MILLIS -> 0.0
            else -> OLD_WEIGHTS_MILLIS
        }

    private fun outdatedMillis(
        weights: WeightsNumber?,
        target: WeightsTarget?,
    ): Long = target?.outdatedSince(weights)?.let(clock::ageMillis) ?: 0

    private companion object {
        /** The platform values answers of older weights in full for this long, less the time to the first token. */
        const val FRESH_MILLIS: Long = 1_300

        /** A later answer of the new weights is worth more than an earlier one of the old, up to this wait. */
        const val OLD_WEIGHTS_MILLIS: Double = 250.0

        /** A load and its announcement take an engine about a second; a long answer on it costs half of that. */
        const val OLD_WEIGHTS_LONG_MILLIS: Double = 500.0

        /**
         * Covers the delay between the store's acknowledgement and this instance's watch, and the way to the engine.
         */
        const val LIMIT_MARGIN_MILLIS: Long = 1_500
    }
}
