package lacewingweir.coordination.placement

import lacewingweir.coordination.fleet.WeightsTarget
import lacewingweir.state.id.WeightsNumber
import lacewingweir.state.time.SuspendAwareClock

/**
 * Decides how long engines with outdated weights may still serve after newer target weights were set.
 *
 * At first, outdated weights have no penalty except for long answers. Then a penalty moves requests to engines that
 * have loaded the new weights. Shortly before the weights have been outdated for [limitMillis], the engine receives no
 * more requests.
 */
internal class WeightsAgePolicy(
    private val clock: SuspendAwareClock,
    private val limitMillis: () -> Long,
) {
    fun isAllowed(
        weights: WeightsNumber?,
        target: WeightsTarget?,
    ): Boolean = (remainingMillis(weights, target) ?: Long.MAX_VALUE) > 0

    /**
     * Returns the milliseconds until calls may no longer begin on [weights], which are negative afterwards, or null if
     * the weights are not outdated.
     */
    fun remainingMillis(
        weights: WeightsNumber?,
        target: WeightsTarget?,
    ): Long? =
        target?.outdatedSince(weights)?.let { since ->
            limitMillis() - LIMIT_MARGIN_MILLIS - clock.ageMillis(since)
        }

    /** Returns the added cost of outdated weights, in milliseconds of waiting time. */
    fun penaltyMillis(
        weights: WeightsNumber?,
        target: WeightsTarget?,
        longAnswer: Boolean,
    ): Double =
        when {
            target?.outdatedSince(weights) == null -> 0.0
            // The engine can load weights only after the long answer has ended or was handed over.
            longAnswer -> OUTDATED_LONG_ANSWER_MILLIS
            outdatedMillis(weights, target) < NO_PENALTY_MILLIS -> 0.0
            else -> OUTDATED_MILLIS
        }

    private fun outdatedMillis(
        weights: WeightsNumber?,
        target: WeightsTarget?,
    ): Long = target?.outdatedSince(weights)?.let(clock::ageMillis) ?: 0

    private companion object {
        /** The time for which the platform gives full value to outdated answers, less the time to first token. */
        const val NO_PENALTY_MILLIS: Long = 1_300

        /** Additional waiting time up to which an answer from new weights is preferred to one from outdated weights. */
        const val OUTDATED_MILLIS: Double = 250.0

        /**
         * Announcing and loading weights takes about one second per engine; a long answer costs half of that.
         */
        const val OUTDATED_LONG_ANSWER_MILLIS: Double = 500.0

        /**
         * Covers the delay from the store's acknowledgement to this instance's watch, and the transfer to the engine.
         */
        const val LIMIT_MARGIN_MILLIS: Long = 1_500
    }
}
