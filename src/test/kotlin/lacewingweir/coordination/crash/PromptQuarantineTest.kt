package lacewingweir.coordination.crash

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import lacewingweir.coordination.fleet.FleetSnapshot
import lacewingweir.coordination.fleet.StoredBlockedParts
import lacewingweir.state.fleet.Prompt
import lacewingweir.state.fleet.PromptPart
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.PartId
import lacewingweir.testing.FLEET_MODEL
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

internal class PromptQuarantineTest {
    private val timers = ManualTimers()
    private val endpoints = engineFleet("i-1", "i-2", "i-3").endpoints
    private val ended = HashSet<String>()
    private var decisions = 0
    private val quarantine = instance()

    private fun instance() =
        PromptQuarantine(
            timers,
            CoroutineScope(Dispatchers.Unconfined),
            refusesConnections = { it.id.value in ended },
            onNews = {},
            onDecision = { decisions++ },
        )

    private fun endpoint(id: String) = endpoints.getValue(EndpointId(id))

    private fun prompt(vararg sharedParts: String) =
        Prompt(FLEET_MODEL, 300, 20, (sharedParts.toList() + "own").map { PromptPart(it, 100) })

    /** Breaks a call with these shared parts off after the head of its response. Returns whether its endpoint ended. */
    private fun breakOff(
        id: String,
        vararg sharedParts: String,
        by: PromptQuarantine = quarantine,
    ): Boolean = runBlocking { by.checkForCrash(endpoint(id), prompt(*sharedParts)).await() }

    private fun endAll() = ended.addAll(listOf("i-1", "i-2", "i-3"))

    @Test
    fun `after two ends of endpoints their common part is blocked`() {
        endAll()
        expectThat(breakOff("i-1", "a", "bad")).isTrue()
        expectThat(quarantine.blockedPart(prompt("c", "bad"))).isNull()
        expectThat(breakOff("i-2", "b", "bad")).isTrue()
        expectThat(quarantine.blockedPart(prompt("c", "bad"))).isEqualTo(PartId("bad"))
        expectThat(quarantine.blockedPart(prompt("a", "b"))).isNull()
        expectThat(decisions).isEqualTo(1)
    }

    /** Guards against verdicts from connections that are reset, cut or closed, and from garbled or partial answers. */
    @Test
    fun `responses broken off by endpoints that live are no evidence`() {
        repeat(20) { expectThat(breakOff("i-${it % 3 + 1}", "sys", "doc")).isFalse() }
        expectThat(quarantine.news()).isNull()
        expectThat(quarantine.blockedParts).isEmpty()
    }

    /** Guards against verdicts on the prompts that wait at an engine when it crashes, up to 48 at once. */
    @Test
    fun `calls that had no response when their endpoint ended are no evidence`() {
        endAll()
        repeat(20) {
            expectThat(runBlocking { quarantine.mayRepeat(prompt("sys", "doc")) }).isTrue()
        }
        expectThat(quarantine.blockedParts).isEmpty()
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
            PromptQuarantine(
                timers,
                CoroutineScope(Dispatchers.Unconfined),
                refusesConnections = { true },
                onNews = { awaitCancellation() },
                onDecision = { awaitCancellation() },
            )
        expectThat(breakOff("i-1", "a", "bad", by = neverReported)).isTrue()
        expectThat(breakOff("i-2", "b", "bad", by = neverReported)).isTrue()
        expectThat(neverReported.blockedParts).isEqualTo(setOf(PartId("bad")))
    }

    @Test
    fun `the last part of a prompt is never blamed`() {
        endAll()
        repeat(3) { breakOff("i-${it + 1}") }
        expectThat(quarantine.blockedParts).isEmpty()
    }

    @Test
    fun `instances that each saw one end agree`() {
        endAll()
        val other = instance()
        breakOff("i-1", "a", "bad")
        breakOff("i-2", "b", "bad", by = other)
        other.onNews(quarantine.news()!!)
        quarantine.onNews(other.news()!!)
        expectThat(other.blockedParts).isEqualTo(setOf(PartId("bad")))
        expectThat(quarantine.blockedParts).isEqualTo(setOf(PartId("bad")))
    }

    @Test
    fun `one end that several instances saw counts once`() {
        endAll()
        val others = List(5) { instance() }
        breakOff("i-1", "sys", "doc")
        others.forEach { breakOff("i-1", "other", "doc", by = it) }
        repeat(3) { others.forEach { quarantine.onNews(it.news()!!) } }
        expectThat(quarantine.blockedParts).isEmpty()
    }

    @Test
    fun `an answer at any instance clears a suspected part`() {
        endAll()
        val other = instance()
        breakOff("i-1", "sys", "doc")
        other.onNews(quarantine.news()!!)
        runBlocking { other.recordAnswer(prompt("sys", "doc")) }
        quarantine.onNews(other.news()!!)
        breakOff("i-2", "sys2", "doc")
        expectThat(quarantine.blockedParts).isEmpty()
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
        expectThat(started.blockedParts).isEqualTo(setOf(PartId("bad")))
        quarantine.onFleet(snapshot(StoredBlockedParts(setOf(PartId("bad")), revision = 7)))
        expectThat(quarantine.news()).isNull()
    }

    @Test
    fun `parts blocked in the store are blocked from the first snapshot on`() {
        quarantine.onFleet(snapshot(StoredBlockedParts(setOf(PartId("bad")), revision = 7)))
        expectThat(quarantine.blockedPart(prompt("sys", "bad"))).isEqualTo(PartId("bad"))
    }

    @Test
    fun `a store that has lost the item unblocks nothing, and operators that remove it unblock all`() {
        quarantine.onFleet(snapshot(StoredBlockedParts(setOf(PartId("bad")), revision = 7)))
        quarantine.onFleet(snapshot(StoredBlockedParts()))
        expectThat(quarantine.blockedParts).isEqualTo(setOf(PartId("bad")))
        quarantine.onFleet(snapshot(StoredBlockedParts(removals = 1)))
        expectThat(quarantine.blockedParts).isEmpty()
    }

    private fun snapshot(stored: StoredBlockedParts) =
        FleetSnapshot(null, emptyMap(), endpoints, emptyMap(), false, emptySet(), stored)
}
