package lacewingweir.state.crash

import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.EndpointTag
import lacewingweir.state.id.PartId
import lacewingweir.state.id.SuspectId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

internal class CrashEvidenceTest {
    private val evidence = CrashEvidence()

    private fun endpoint(
        number: Int,
        startedAt: Long = 1,
    ) = EndpointTag.of(EndpointId("i-$number"), startedAt)

    private fun part(id: String) = SuspectId.of(PartId(id))

    private fun parts(vararg ids: String) = ids.map(::part)

    /** Records the crash of an endpoint that began to answer prompts with these shared parts. */
    private fun crash(
        number: Int,
        vararg ids: String,
        atMillis: Long = 0,
    ): SuspectId? = evidence.recordCrash(EndpointCrash(endpoint(number), evidence.suspectParts(parts(*ids))), atMillis)

    @Test
    fun `a part that recurs under two crashes is the culprit if nothing else does`() {
        expectThat(crash(1, "a", "bad")).isNull()
        expectThat(crash(2, "b", "bad")).isEqualTo(part("bad"))
    }

    @Test
    fun `a single crash blocks nothing`() {
        expectThat(crash(1, "bad")).isNull()
        expectThat(evidence.isSuspect(part("bad"))).isTrue()
    }

    @Test
    fun `a crash that several instances report counts once`() {
        repeat(10) { expectThat(crash(1, "sys", "bad")).isNull() }
    }

    @Test
    fun `a later run of the same endpoint counts as another crash`() {
        val suspects = evidence.suspectParts(parts("bad"))
        expectThat(evidence.recordCrash(EndpointCrash(endpoint(1, startedAt = 1), suspects), 0)).isNull()
        expectThat(evidence.recordCrash(EndpointCrash(endpoint(1, startedAt = 2), suspects), 0))
            .isEqualTo(part("bad"))
    }

    /** Sound prompts share the system prompt with those that crash engines. */
    @Test
    fun `a part that was answered before is not blamed beside an unknown one`() {
        evidence.recordAnswer(parts("sys", "doc"))
        crash(1, "sys", "bad")
        expectThat(crash(2, "sys", "bad")).isEqualTo(part("bad"))
        evidence.block(part("bad"))
        repeat(10) { expectThat(crash(3 + it, "sys", "bad")).isNull() }
    }

    /** An instance that has just started knows no answers. */
    @Test
    fun `of two unknown parts that always recur together the later one is the culprit after a third crash`() {
        crash(1, "sys", "bad")
        expectThat(crash(2, "sys", "bad")).isNull()
        expectThat(crash(3, "sys", "bad")).isEqualTo(part("bad"))
    }

    @Test
    fun `the first part is the culprit if the others differ`() {
        crash(1, "bad", "a", "b")
        expectThat(crash(2, "bad", "c", "d")).isEqualTo(part("bad"))
    }

    @Test
    fun `an answer clears a part that was suspected`() {
        crash(1, "a", "doc")
        expectThat(evidence.recordAnswer(parts("doc"))).containsExactly(part("doc"))
        expectThat(evidence.isSuspect(part("doc"))).isFalse()
        expectThat(crash(2, "b", "doc")).isNull()
    }

    /** Engines that fail one after the other, for example in a failure domain, take sound prompts with them. */
    @Test
    fun `parts that were answered are blamed only after four crashes without another suspect`() {
        evidence.recordAnswer(parts("sys", "doc"))
        repeat(3) { expectThat(crash(it, "sys", "doc", atMillis = it * 1_000L)).isNull() }
        expectThat(crash(3, "sys", "doc", atMillis = 3_000)).isEqualTo(part("doc"))
    }

    /** Guards against a verdict on the parts that all prompts share when a failure domain or a rack is lost. */
    @Test
    fun `endpoints that end at the same time are one piece of evidence against parts that were answered`() {
        evidence.recordAnswer(parts("sys", "doc"))
        for (moment in 0 until 3) {
            repeat(
                9,
            ) { expectThat(crash(10 * moment + it, "sys", "doc", atMillis = moment * 60_000L + it * 20)).isNull() }
        }
    }

    @Test
    fun `an answer between crashes protects parts that were answered before`() {
        repeat(20) {
            evidence.recordAnswer(parts("sys", "doc"))
            expectThat(crash(it, "sys", "doc")).isNull()
        }
    }

    @Test
    fun `crashes explained by a blocked part are no evidence against others`() {
        crash(1, "x", "bad")
        crash(2, "y", "bad")
        evidence.block(part("bad"))
        expectThat(crash(3, "x", "bad")).isNull()
        expectThat(evidence.isSuspect(part("x"))).isFalse()
    }

    @Test
    fun `a second culprit is found after the first one`() {
        crash(1, "sys", "bad")
        evidence.block(crash(2, "other", "bad")!!)
        crash(3, "sys", "worse")
        expectThat(crash(4, "other", "worse")).isEqualTo(part("worse"))
    }

    @Test
    fun `an instance that knows an answer does not blame the part that a peer suspects`() {
        evidence.recordAnswer(parts("sys"))
        val reported = listOf(Suspect(part("sys"), 0), Suspect(part("bad"), 1))
        evidence.recordCrash(EndpointCrash(endpoint(1), reported), 0)
        expectThat(evidence.recordCrash(EndpointCrash(endpoint(2), reported), 0)).isEqualTo(part("bad"))
    }

    @Test
    fun `crashes far apart are not related`() {
        crash(1, "a", "doc", atMillis = 0)
        expectThat(crash(2, "b", "doc", atMillis = 3_600_001)).isNull()
    }

    @Test
    fun `memory is bounded`() {
        repeat(10_000) {
            evidence.recordAnswer(parts("answered$it"))
            evidence.block(part("blocked$it"))
            crash(it, "suspect$it")
        }
        expectThat(evidence.blockList.size).isEqualTo(CrashEvidence.MAX_BLOCKED)
        expectThat(evidence.wasAnswered(part("answered0"))).isFalse()
        expectThat(evidence.wasAnswered(part("answered9999"))).isTrue()
        expectThat(evidence.isSuspect(part("suspect0"))).isFalse()
    }
}
