package lacewingweir.coordination.versions

import lacewingweir.state.id.SoftwareVersion
import lacewingweir.state.versions.ExposureCredit
import lacewingweir.state.versions.RolloutPhase
import lacewingweir.state.versions.RolloutStep
import lacewingweir.state.versions.ServiceEvidence
import lacewingweir.state.versions.Verdict
import lacewingweir.state.versions.judge
import lacewingweir.state.versions.minus
import lacewingweir.state.versions.mustStopAlone
import lacewingweir.state.versions.total

/** What one instance keeps of the rollout at [step]: its credit, and the evidence by the periods that are judged. */
internal class ServiceRollout(
    step: RolloutStep,
    private val credit: ExposureCredit,
    unixMillis: Long,
) {
    /** The verdicts since the order, since the phase began, and on the latest answers. */
    data class Verdicts(
        val sinceOrder: Verdict,
        val sincePhase: Verdict,
        val recent: Verdict,
    )

    var step: RolloutStep = step
        private set

    /** Whether this instance has stopped calls to the target on the facts that it knows. */
    var isStopped = false
        private set

    /** The slots of target endpoints in relation to those of old ones, at most 1. */
    var slotRatio = 1.0

    private var phaseBase: ServiceEvidence = emptyMap()
    private var olderBase: ServiceEvidence = emptyMap()
    private var newerBase: ServiceEvidence = emptyMap()
    private var newerBaseUnixMillis = unixMillis

    var evidence: ServiceEvidence = emptyMap()
        private set

    /** The share of calls for the target that this instance sends now. */
    val share: Double
        get() = if (step.share >= 1.0) step.share else minOf(step.share, slotRatio)

    val isDue: Boolean
        get() = isOpen && credit.isDue(share)

    private val isOpen: Boolean
        get() = !isStopped && !step.phase.isFinal

    /** The step that applies here: the stored one, or a rollback that this instance has decided on its own. */
    val applied: RolloutStep
        get() {
            val isRolledBackHere = isStopped && step.phase != RolloutPhase.COMPLETED
            return if (isRolledBackHere) step.copy(phase = RolloutPhase.ROLLED_BACK) else step
        }

    fun onPlaced(version: SoftwareVersion?) {
        if (isOpen) credit.onCall(share, toTarget = version == step.target)
    }

    fun onRejected(
        version: SoftwareVersion?,
        wasSent: Boolean,
    ) {
        if (isOpen) credit.onRejected(share, toTarget = version == step.target, wasSent)
    }

    fun update(next: RolloutStep) {
        if (next.phase != step.phase) phaseBase = evidence
        step = next
    }

    /** Takes over the totals since the order. Returns whether this instance stops calls to the target just now. */
    fun observe(
        totals: ServiceEvidence,
        unixMillis: Long,
    ): Boolean {
        evidence = totals
        if (unixMillis - newerBaseUnixMillis >= maxOf(MIN_RECENT_MILLIS, step.durationMillis / RECENT_PERIODS)) {
            olderBase = newerBase
            newerBase = totals
            newerBaseUnixMillis = unixMillis
        }
        val stops = isOpen && (mustStopAlone(totals) || mustStopAlone(totals - olderBase))
        if (stops) isStopped = true
        return stops
    }

    fun verdicts() =
        Verdicts(
            sinceOrder = judge(evidence),
            sincePhase = judge(evidence - phaseBase, evidence, MIN_RECENT_DOUBT_BAD),
            recent = judge(evidence - olderBase, evidence, MIN_RECENT_DOUBT_BAD),
        )

    /** Returns the mean time of the old version's answers on [route], or null if there are too few. */
    fun oldMean(route: Int): Double? = evidence[route]?.old?.takeIf { it.answers >= MIN_MEAN_ANSWERS }?.meanMillis

    /** Describes the evidence for the log. */
    fun describe(): String {
        val all = evidence.total()
        val recent = (evidence - olderBase).total()
        return "target=[${all.target}] old=[${all.old}] recent=[${recent.target}] routes=${evidence.size}"
    }

    private companion object {
        const val MIN_RECENT_MILLIS = 3_000L

        /** Parts of the rollout's duration after which earlier answers no longer count as recent. */
        const val RECENT_PERIODS = 12
        const val MIN_MEAN_ANSWERS = 20

        /** In a short period, one or two bad answers of a good version are a large share. */
        const val MIN_RECENT_DOUBT_BAD = 3
    }
}
