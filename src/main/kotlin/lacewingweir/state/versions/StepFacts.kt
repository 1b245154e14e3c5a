/** Decides when the rollout of a software version enters its next phase. */
package lacewingweir.state.versions

/**
 * What the decision on a step depends on.
 *
 * @property sinceOrder the verdict on all answers since the order
 * @property sincePhase the verdict on the answers since the phase began
 * @property recent the verdict on the latest answers, which earlier good ones don't dilute
 * @property targetSlots the slots of the target's endpoints that accept requests
 * @property oldSlots the slots of the old versions' endpoints that accept requests
 * @property oldRunning the calls that run or wait at old endpoints, as far as known
 * @property targetAnswers the answers of the target since the order
 * @property hearsPeers whether the facts include those of peers, without which no phase changes
 */
internal data class StepFacts(
    val sinceOrder: Verdict,
    val sincePhase: Verdict,
    val recent: Verdict,
    val targetSlots: Int,
    val oldSlots: Int,
    val oldRunning: Int,
    val targetAnswers: Long,
    val hearsPeers: Boolean,
)

/**
 * Times of the phases, as shares of the rollout's duration.
 *
 * With half of an exposure limit of 0.1 in the first phase, a version has got 0.0975 of all calls by the end of the
 * third phase, so a version that turns bad by then stays within the limit.
 */
private const val CANARY_END = 0.45
private const val SKIP_QUARTER_FROM = 0.6
private const val SKIP_HALF_FROM = 0.7
private const val MIN_PHASE = 0.1
private const val STEPS_END = 0.85

/** Time in a phase after which a doubt counts as a fault, since the target gets a large share of the calls by then. */
private const val MAX_DOUBT = 0.15
private const val FINAL_DECISION = 0.9
private const val LATEST_COMPLETION = 0.95

/** Time in which the loads of all peers have been reported after old endpoints got their last calls. */
private const val MIN_DRAIN_MILLIS = 2_500L

/** Returns the phase that follows at [unixMillis], or null if the step stays. */
internal fun nextPhase(
    step: RolloutStep,
    facts: StepFacts,
    unixMillis: Long,
): RolloutPhase? {
    if (step.phase.isFinal || !facts.hearsPeers) return null
    val elapsed = (unixMillis - step.startUnixMillis) / step.durationMillis.toDouble()
    val inPhase = (unixMillis - step.phaseUnixMillis) / step.durationMillis.toDouble()
    val verdicts = listOf(facts.sinceOrder, facts.sincePhase, facts.recent)
    val mayAdvance = Verdict.DOUBTFUL !in verdicts && isSufficient(facts)
    return when {
        Verdict.BAD in verdicts -> RolloutPhase.ROLLED_BACK
        step.phase == RolloutPhase.DRAIN -> afterDrain(step, facts, elapsed, unixMillis)
        // Endpoints of the target that refuse all calls give no evidence.
        elapsed >= FINAL_DECISION ->
            if (mayAdvance && facts.targetAnswers > 0) RolloutPhase.DRAIN else RolloutPhase.ROLLED_BACK
        isDoubtLasting(step.phase, verdicts, inPhase) -> RolloutPhase.ROLLED_BACK
        mayAdvance && facts.sinceOrder == Verdict.GOOD -> afterGood(step.phase, elapsed, inPhase)
        else -> null
    }
}

private fun isDoubtLasting(
    phase: RolloutPhase,
    verdicts: List<Verdict>,
    inPhase: Double,
): Boolean {
    val exceedsFirstShare = phase == RolloutPhase.QUARTER || phase == RolloutPhase.HALF || phase == RolloutPhase.FULL
    return Verdict.DOUBTFUL in verdicts && exceedsFirstShare && inPhase >= MAX_DOUBT
}

private fun afterGood(
    phase: RolloutPhase,
    elapsed: Double,
    inPhase: Double,
): RolloutPhase? {
    val hasLasted = inPhase >= MIN_PHASE
    return when (phase) {
        RolloutPhase.CANARY -> if (elapsed >= CANARY_END) afterCanary(elapsed) else null
        RolloutPhase.QUARTER -> afterQuarter(elapsed).takeIf { hasLasted }
        RolloutPhase.HALF -> RolloutPhase.FULL.takeIf { hasLasted }
        else -> RolloutPhase.DRAIN.takeIf { hasLasted || elapsed >= STEPS_END }
    }
}

private fun afterCanary(elapsed: Double): RolloutPhase =
    when {
        elapsed < SKIP_QUARTER_FROM -> RolloutPhase.QUARTER
        elapsed < SKIP_HALF_FROM -> RolloutPhase.HALF
        else -> RolloutPhase.FULL
    }

private fun afterQuarter(elapsed: Double): RolloutPhase =
    if (elapsed < SKIP_HALF_FROM) RolloutPhase.HALF else RolloutPhase.FULL

private fun afterDrain(
    step: RolloutStep,
    facts: StepFacts,
    elapsed: Double,
    unixMillis: Long,
): RolloutPhase? {
    val hasEnded = facts.oldRunning == 0 && unixMillis - step.phaseUnixMillis >= MIN_DRAIN_MILLIS
    return when {
        facts.targetSlots == 0 -> RolloutPhase.ROLLED_BACK
        hasEnded || elapsed >= LATEST_COMPLETION -> RolloutPhase.COMPLETED
        else -> null
    }
}

/** Whether the target's endpoints can take over a considerable part of the traffic. */
private fun isSufficient(facts: StepFacts) = facts.targetSlots > 0 && facts.targetSlots * 2 >= facts.oldSlots
