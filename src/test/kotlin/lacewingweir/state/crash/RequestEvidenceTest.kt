package lacewingweir.state.crash

import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.EndpointTag
import lacewingweir.state.id.PartId
import lacewingweir.state.id.RequestFingerprint
import lacewingweir.state.id.SuspectId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

/** Tests the evidence against whole requests. */
internal class RequestEvidenceTest {
    private val evidence = CrashEvidence()
    private val bad = request("bad")

    private fun endpoint(number: Int) = EndpointTag.of(EndpointId("i-$number"), 1)

    private fun request(name: String) = SuspectId.of(RequestFingerprint(name))

    private fun part(name: String) = SuspectId.of(PartId(name))

    private fun running(
        id: SuspectId,
        onTrial: Boolean = false,
    ) = Suspect(id, CrashEvidence.REQUEST_POSITION, evidence.wasAnswered(id), onTrial = onTrial)

    private fun waiting(id: SuspectId) = running(id).copy(waiting = true)

    private fun crash(
        number: Int,
        vararg suspects: Suspect,
        atMillis: Long = 0,
    ): SuspectId? = evidence.recordCrash(EndpointCrash(endpoint(number), suspects.toList()), atMillis)

    @Test
    fun `a request that recurs under two crashes needs a trial and is not blocked`() {
        expectThat(crash(1, running(bad))).isNull()
        expectThat(evidence.onTrial).isEmpty()
        expectThat(crash(2, running(bad))).isNull()
        expectThat(evidence.onTrial).containsExactly(bad)
    }

    @Test
    fun `a request that crashes an endpoint alone in a trial fails it`() {
        crash(1, running(bad))
        crash(2, running(bad))
        expectThat(crash(3, running(bad, onTrial = true))).isNull()
        expectThat(evidence.failedAlone(bad, endpoint(3))).isTrue()
    }

    /** Guards against verdicts on a sound request that is tried out beside a crashing one. */
    @Test
    fun `a trial beside another unknown request proves nothing the first time`() {
        crash(1, running(bad), running(request("sound")))
        crash(2, running(bad), running(request("sound")))
        crash(3, running(request("sound"), onTrial = true), running(bad))
        expectThat(evidence.failedAlone(request("sound"), endpoint(3))).isFalse()
        expectThat(crash(4, running(bad, onTrial = true), running(request("new")))).isNull()
        expectThat(crash(5, running(bad, onTrial = true), running(request("newer")))).isEqualTo(bad)
    }

    @Test
    fun `requests that were answered before don't stand beside a failed trial`() {
        evidence.recordAnswer(listOf(request("hot")))
        crash(1, running(bad), running(request("hot")))
        crash(2, running(bad), running(request("hot")))
        crash(3, running(bad, onTrial = true), running(request("hot")))
        expectThat(evidence.failedAlone(bad, endpoint(3))).isTrue()
    }

    /** Guards against refusals of sound requests that are repeated beside a crashing one. */
    @Test
    fun `an answer ends the need of a trial`() {
        crash(1, running(bad), running(request("sound")))
        crash(2, running(bad), running(request("sound")))
        evidence.recordAnswer(listOf(request("sound")))
        expectThat(evidence.onTrial).containsExactly(bad)
    }

    /** Guards against trials of hot requests whenever endpoints crash, since one is always running. */
    @Test
    fun `a request that was answered before needs a trial after four crashes without an answer only`() {
        evidence.recordAnswer(listOf(request("hot")))
        repeat(3) { crash(it, running(request("hot"))) }
        expectThat(evidence.onTrial).isEmpty()
        crash(3, running(request("hot")))
        expectThat(evidence.onTrial).containsExactly(request("hot"))
        evidence.recordAnswer(listOf(request("hot")))
        expectThat(evidence.onTrial).isEmpty()
    }

    @Test
    fun `requests that waited are not suspected beside one that ran`() {
        crash(1, running(bad), waiting(request("sound")))
        crash(2, running(bad), waiting(request("sound")))
        expectThat(evidence.onTrial).containsExactly(bad)
    }

    /** Guards against engines that crash before they respond to the request that crashes them. */
    @Test
    fun `requests that may have waited are suspected if no other ran`() {
        crash(1, waiting(bad), waiting(request("sound")))
        crash(2, waiting(bad), waiting(request("sound2")))
        expectThat(evidence.onTrial).containsExactly(bad)
    }

    /** Guards against a verdict on the parts that sound prompts share with a request that crashes engines. */
    @Test
    fun `parts that recur with a request are not blocked`() {
        val parts = listOf(part("sys"), part("doc"))
        repeat(6) { n ->
            val suspects = evidence.suspectParts(parts) + running(bad)
            expectThat(crash(n, *suspects.toTypedArray())).isNull()
        }
        evidence.recordAnswer(parts)
        repeat(6) { n ->
            val suspects = evidence.suspectParts(parts) + running(bad)
            expectThat(crash(10 + n, *suspects.toTypedArray())).isNull()
        }
        expectThat(evidence.onTrial).containsExactly(bad)
    }

    /** Guards against a crashing part that is taken for the requests of one caller that repeats them. */
    @Test
    fun `a part that recurs in different requests is blocked although one of them was repeated`() {
        crash(1, Suspect(part("bad"), 0), running(request("a")))
        expectThat(crash(2, Suspect(part("bad"), 0), running(request("a")))).isNull()
        expectThat(crash(3, Suspect(part("bad"), 0), running(request("b")))).isEqualTo(part("bad"))
    }

    /** Guards against a part that crashes engines for new requests only, after it had been answered. */
    @Test
    fun `a part that was answered before is blocked after four crashes under different requests`() {
        evidence.recordAnswer(listOf(part("bad")))
        val answered = Suspect(part("bad"), 0, answered = true)
        repeat(3) { n -> expectThat(crash(n, answered, running(request("r$n")), atMillis = n * 1_000L)).isNull() }
        expectThat(crash(3, answered, running(request("r3")), atMillis = 3_000)).isEqualTo(part("bad"))
    }

    /** Guards against a verdict that is forgotten while its request still comes. */
    @Test
    fun `what is refused again stays blocked`() {
        evidence.block(bad)
        repeat(3 * CrashEvidence.MAX_BLOCKED) {
            evidence.block(request("other$it"))
            evidence.recordRefusal(bad)
        }
        expectThat(bad in evidence.blockList).isTrue()
        expectThat(evidence.blockList.size).isEqualTo(CrashEvidence.MAX_BLOCKED)
    }

    @Test
    fun `reports of one crash by several instances count once and complete each other`() {
        crash(1, waiting(bad))
        crash(1, running(bad))
        expectThat(evidence.onTrial).isEmpty()
        crash(2, running(bad))
        expectThat(evidence.onTrial).containsExactly(bad)
    }
}
