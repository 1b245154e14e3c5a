package lacewingweir.state.versions

import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.SoftwareVersion
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

internal class VersionEvidenceTest {
    private val start = 1_000_000L
    private val canary =
        RolloutStep(
            ServiceName("s"),
            SoftwareVersion("new"),
            7,
            setOf(SoftwareVersion("old")),
            start,
            start + 60_000,
            RolloutPhase.CANARY,
            start,
            50,
        )

    private fun facts(verdict: Verdict) =
        StepFacts(verdict, Verdict.THIN, Verdict.THIN, 4, 4, oldRunning = 0, targetAnswers = 6, hearsPeers = true)

    private fun evidence(
        target: AnswerTally,
        old: AnswerTally = AnswerTally(1_000),
    ): ServiceEvidence = mapOf(1 to RouteEvidence(target, old))

    /** Guards against a good version of a service with few calls that one bad answer ends. */
    @Test
    fun `a single bad answer among few is thin evidence`() {
        val few = judge(evidence(AnswerTally(6, bad = 1)))
        expectThat(few).isEqualTo(Verdict.THIN)
        expectThat(nextPhase(canary, facts(few), start + 54_000)).isEqualTo(RolloutPhase.DRAIN)
        val more = judge(evidence(AnswerTally(6, bad = 2)))
        expectThat(more).isEqualTo(Verdict.DOUBTFUL)
        expectThat(nextPhase(canary, facts(more), start + 54_000)).isEqualTo(RolloutPhase.ROLLED_BACK)
        // Nor is it a reason for a step up.
        expectThat(judge(evidence(AnswerTally(40, bad = 1)))).isEqualTo(Verdict.THIN)
    }

    /** Guards against a good version that is rolled back because this instance's network cut off all its calls. */
    @Test
    fun `timeouts that the old version has as often are no evidence`() {
        val cutOff = evidence(AnswerTally(40, unclear = 25), AnswerTally(800, unclear = 500))
        expectThat(judge(cutOff)).isEqualTo(Verdict.GOOD)
        expectThat(mustStopAlone(cutOff)).isFalse()
    }

    /** Guards against a version whose calls hang, which never shows a bad answer. */
    @Test
    fun `timeouts that the old version doesn't have are evidence`() {
        val hanging = evidence(AnswerTally(40, unclear = 25))
        expectThat(judge(hanging)).isEqualTo(Verdict.BAD)
        expectThat(mustStopAlone(hanging)).isTrue()
        val sometimesHanging = evidence(AnswerTally(270, unclear = 30))
        expectThat(judge(sometimesHanging)).isEqualTo(Verdict.BAD)
        expectThat(mustStopAlone(sometimesHanging)).isFalse()
    }

    /** Guards against a network that fails after all traffic has been moved, when nothing can be compared. */
    @Test
    fun `timeouts without calls of the old version in the same period are only a doubt`() {
        val alone = evidence(AnswerTally(40, unclear = 25), AnswerTally())
        expectThat(judge(alone, evidence(AnswerTally()))).isEqualTo(Verdict.DOUBTFUL)
        expectThat(mustStopAlone(alone)).isFalse()
    }
}
