package lacewingweir.coordination.placement

import lacewingweir.coordination.fleet.WeightsTarget
import lacewingweir.state.id.WeightsNumber
import lacewingweir.state.time.SuspendAwareClock

/**
 * Decides how long engines with outdated weights may still serve after newer target weights were set.
 *
 * At first, outdated weights have no penalty except for long answers. Then a penalty moves requests to engines that
 * have loaded the new weights. It grows with the age of the outdated weights. Shortly before they have been outdated
 * for [limitMillis], calls may no longer begin on them. A call begins with its first event, after its wait and its
 * prefill at the engine.
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
     * Returns the time in which calls may still begin on [weights], which is negative once they may not, or null if
     * the weights are not outdated. A call that has not begun by then must be withdrawn.
     */
    fun remainingMillis(
        weights: WeightsNumber?,
        target: WeightsTarget?,
    ): Long? =
        target?.outdatedSince(weights)?.let { since ->
            limitMillis() - BEGIN_MARGIN_MILLIS - clock.ageMillis(since)
        }

    /**
     * Returns whether an engine with [weights] may take a run that another engine hands over. Engines that calls may
     * soon no longer begin on load at once, without waiting until all instances know of it.
     */
    fun mayContinueOn(
        weights: WeightsNumber?,
        target: WeightsTarget?,
    ): Boolean = (remainingMillis(weights, target) ?: Long.MAX_VALUE) > CONTINUE_MARGIN_MILLIS

    /** Returns the added cost of outdated weights, in milliseconds of waiting time. */
    fun penaltyMillis(
        weights: WeightsNumber?,
        target: WeightsTarget?,
        longAnswer: Boolean,
    ): Double =
        when {
            target?.outdatedSince(weights) == null -> 0.0
            // The engine can load weights only after the long answer has ended or was handed over.
            longAnswer -> maxOf(OUTDATED_LONG_ANSWER_MILLIS, agePenaltyMillis(outdatedMillis(weights, target)))
            else -> agePenaltyMillis(outdatedMillis(weights, target))
        }

    private fun agePenaltyMillis(outdatedMillis: Long): Double {
        if (outdatedMillis < NO_PENALTY_MILLIS) return 0.0
        val rampMillis = (limitMillis() - BEGIN_MARGIN_MILLIS - NO_PENALTY_MILLIS).coerceAtLeast(1)
        val share = ((outdatedMillis - NO_PENALTY_MILLIS).toDouble() / rampMillis).coerceAtMost(1.0)
        return OUTDATED_MILLIS + share * (OUTDATED_AT_BOUND_MILLIS - OUTDATED_MILLIS)
    }

    /** Returns for how long the weights have been outdated, or zero if they are not. */
    fun outdatedMillis(
        weights: WeightsNumber?,
        target: WeightsTarget?,
    ): Long = target?.outdatedSince(weights)?.let(clock::ageMillis) ?: 0

    private companion object {
        /** The time for which the platform gives full value to outdated answers, less the time to first token. */
        const val NO_PENALTY_MILLIS: Long = 1_300

        /** Additional waiting time up to which an answer from new weights is preferred at first. */
        const val OUTDATED_MILLIS: Double = 250.0

        /** The same shortly before the bound, when a call that waits too long is withdrawn and read anew elsewhere. */
        const val OUTDATED_AT_BOUND_MILLIS: Double = 1_000.0

        /**
         * Announcing and loading weights takes about one second per engine; a long answer costs half of that.
         */
        const val OUTDATED_LONG_ANSWER_MILLIS: Double = 500.0

        /**
         * Covers the time from the withdrawal of a call until its engine notices that the connection was closed: the
         * transit, the engine's step, and the delay of a busy process.
         */
        const val BEGIN_MARGIN_MILLIS: Long = 1_000

        /** When engines load all at once, see `isUrgent` in the rollout of weights. */
        const val CONTINUE_MARGIN_MILLIS: Long = 1_000
    }
}
