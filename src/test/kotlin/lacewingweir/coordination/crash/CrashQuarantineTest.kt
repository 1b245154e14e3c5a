package lacewingweir.coordination.crash

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import lacewingweir.coordination.fleet.FleetSnapshot
import lacewingweir.coordination.fleet.StoredBlockList
import lacewingweir.state.crash.CallSuspects
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.PartId
import lacewingweir.state.id.RequestFingerprint
import lacewingweir.state.id.SuspectId
import lacewingweir.testing.ManualTimers
import lacewingweir.testing.engineFleet
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue

internal class CrashQuarantineTest {
    private val timers = ManualTimers()
    private val endpoints = engineFleet("i-1", "i-2", "i-3").endpoints
    private val ended = HashSet<String>()
    private var decisions = 0
    private val quarantine = instance()

    private var requests = 0

    private fun instance(name: String = "instance-1") =
        CrashQuarantine(
            name,
            timers,
            CoroutineScope(Dispatchers.Unconfined),
            refusesConnections = { it.id.value in ended },
            onNews = {},
            onDecision = { decisions++ },
        )

    private fun endpoint(id: String) = endpoints.getValue(EndpointId(id))

    private fun part(id: String) = SuspectId.of(PartId(id))

    /** A request that comes once, with these shared parts. */
    private fun prompt(vararg sharedParts: String) = call("request${requests++}", *sharedParts)

    private fun call(
        fingerprint: String,
        vararg sharedParts: String,
    ) = CallSuspects(sharedParts.map(::PartId), RequestFingerprint(fingerprint))

    private fun blockedPart(call: CallSuspects) = (quarantine.standing { call } as? Standing.Blocked)?.cause

    /** Breaks a call with these shared parts off after the head of its response. Returns whether its endpoint ended. */
    private fun breakOff(
        id: String,
        vararg sharedParts: String,
        by: CrashQuarantine = quarantine,
    ): Boolean =
        runBlocking {
            by
                .checkForCrash(endpoint(id), BrokenCall(prompt(*sharedParts), BrokenCallProgress.ANSWER_BEGUN))
                .await()
        }

    private fun endAll() = ended.addAll(listOf("i-1", "i-2", "i-3"))

    @Test
    fun `after two ends of endpoints their common part is blocked`() {
        endAll()
        expectThat(breakOff("i-1", "a", "bad")).isTrue()
        expectThat(blockedPart(prompt("c", "bad"))).isNull()
        expectThat(breakOff("i-2", "b", "bad")).isTrue()
        expectThat(blockedPart(prompt("c", "bad"))).isEqualTo(part("bad"))
        expectThat(blockedPart(prompt("a", "b"))).isNull()
        expectThat(decisions).isEqualTo(1)
    }

    /** Guards against verdicts from connections that are reset, cut or closed, and from garbled or partial answers. */
    @Test
    fun `responses broken off by endpoints that live are no evidence`() {
        repeat(20) { expectThat(breakOff("i-${it % 3 + 1}", "sys", "doc")).isFalse() }
        expectThat(quarantine.news()).isNull()
        expectThat(quarantine.blockList).isEmpty()
    }

    /** Guards against verdicts on the prompts that wait at an engine when it crashes, up to 48 at once. */
    @Test
    fun `calls that had no response when their endpoint ended are no evidence`() {
        endAll()
        repeat(20) {
            expectThat(runBlocking { quarantine.mayRepeat(prompt("sys", "doc")) }).isTrue()
        }
        expectThat(quarantine.blockList).isEmpty()
    }

    @Test
    fun `a call that waited at an endpoint is not repeated if its part is suspected of the crash`() {
        endAll()
        breakOff("i-1", "sys", "bad")
        runBlocking {
            expectThat(quarantine.mayRepeat(prompt("other", "bad"))).isFalse()
            expectThat(quarantine.mayRepeat(prompt("other", "doc"))).isTrue()
        }
    }

    /** Guards against answers to callers that wait for calls of a store that is slow or down. */
    @Test
    fun `the result of a check does not wait for its report`() {
        endAll()
        val neverReported =
            CrashQuarantine(
                "instance-1",
                timers,
                CoroutineScope(Dispatchers.Unconfined),
                refusesConnections = { true },
                onNews = { awaitCancellation() },
                onDecision = { awaitCancellation() },
            )
        expectThat(breakOff("i-1", "a", "bad", by = neverReported)).isTrue()
        expectThat(breakOff("i-2", "b", "bad", by = neverReported)).isTrue()
        expectThat(neverReported.blockList).isEqualTo(setOf(part("bad")))
    }

    @Test
    fun `the last part of a prompt is never blamed`() {
        endAll()
        repeat(3) { breakOff("i-${it + 1}") }
        expectThat(quarantine.blockList).isEmpty()
    }

    @Test
    fun `instances that each saw one end agree`() {
        endAll()
        val other = instance("instance-2")
        breakOff("i-1", "a", "bad")
        breakOff("i-2", "b", "bad", by = other)
        other.onNews(quarantine.news()!!)
        quarantine.onNews(other.news()!!)
        expectThat(other.blockList).isEqualTo(setOf(part("bad")))
        expectThat(quarantine.blockList).isEqualTo(setOf(part("bad")))
    }

    @Test
    fun `one end that several instances saw counts once`() {
        endAll()
        val others = List(5) { instance("instance-${it + 2}") }
        breakOff("i-1", "sys", "doc")
        others.forEach { breakOff("i-1", "other", "doc", by = it) }
        repeat(3) { others.forEach { quarantine.onNews(it.news()!!) } }
        expectThat(quarantine.blockList).isEmpty()
    }

    @Test
    fun `an answer at any instance clears a suspected part`() {
        endAll()
        val other = instance("instance-2")
        breakOff("i-1", "sys", "doc")
        other.onNews(quarantine.news()!!)
        runBlocking { other.recordAnswer(prompt("sys", "doc")) }
        quarantine.onNews(other.news()!!)
        breakOff("i-2", "sys2", "doc")
        expectThat(quarantine.blockList).isEmpty()
    }

    @Test
    fun `news are repeated for some seconds in case they are lost`() {
        endAll()
        breakOff("i-1", "sys", "bad")
        timers.advance(4_000)
        expectThat(quarantine.news()).isNotNull()
        timers.advance(2_000)
        expectThat(quarantine.news()).isNull()
    }

    /** Guards against instances that start while the store is unavailable for writes, and never hear of a verdict. */
    @Test
    fun `a blocked part is news until it is in the store`() {
        endAll()
        breakOff("i-1", "a", "bad")
        breakOff("i-2", "b", "bad")
        timers.advance(60_000)
        val started = instance().also { it.onNews(quarantine.news()!!) }
        expectThat(started.blockList).isEqualTo(setOf(part("bad")))
        quarantine.onFleet(snapshot(StoredBlockList(setOf(part("bad")), revision = 7)))
        expectThat(quarantine.news()).isNull()
    }

    @Test
    fun `parts blocked in the store are blocked from the first snapshot on`() {
        quarantine.onFleet(snapshot(StoredBlockList(setOf(part("bad")), revision = 7)))
        expectThat(blockedPart(prompt("sys", "bad"))).isEqualTo(part("bad"))
    }

    @Test
    fun `a store that has lost the item unblocks nothing, and operators that remove it unblock all`() {
        quarantine.onFleet(snapshot(StoredBlockList(setOf(part("bad")), revision = 7)))
        quarantine.onFleet(snapshot(StoredBlockList()))
        expectThat(quarantine.blockList).isEqualTo(setOf(part("bad")))
        quarantine.onFleet(snapshot(StoredBlockList(removals = 1)))
        expectThat(quarantine.blockList).isEmpty()
    }

    private fun snapshot(stored: StoredBlockList) =
        FleetSnapshot(null, emptyMap(), endpoints, emptyMap(), false, emptySet(), stored)
}
