package lacewingweir.fleet

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import lacewingweir.testing.CallerOutcome
import lacewingweir.testing.ProcessFleet
import lacewingweir.testing.answerText
import lacewingweir.testing.chat
import lacewingweir.testing.hasBundle
import lacewingweir.testing.reserve
import lacewingweir.testing.serviceStats
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.MethodOrderer
import org.junit.jupiter.api.Order
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.TestMethodOrder
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isContainedIn
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isTrue

/** Reservations, streams and weights on one fleet under faults of services, engines, platform and instances. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@TestMethodOrder(MethodOrderer.OrderAnnotation::class)
internal class CallFaultTest {
    private val fleet = ProcessFleet(engineArgs = listOf("--decode-millis-per-token", "20"))

    @AfterAll
    fun tearDown() = fleet.close()

    private suspend fun runs(order: String): Int = fleet.serviceStats().runs[order] ?: 0

    // G9, G10: guards against a repeat of a call whose answer was lost, and against a false "not run".
    @Test
    @Order(1)
    fun `a reservation whose answer is dropped runs once`() =
        runBlocking<Unit> {
            fleet.faults(fleet.service.port, """{"dropAnswer":true,"times":1}""")
            expectThat(fleet.reserve(0, "dropped")).isEqualTo(503 to "unknown")
            expectThat((0..2).map { fleet.reserve(it, "dropped") }).all { isEqualTo(409 to "unknown") }
            expectThat(runs("dropped")).isEqualTo(1)
            val before = fleet.serviceStats().totalRuns
            fleet.faults(fleet.service.port, """{"dropAnswer":true,"times":1}""")
            expectThat(fleet.reserve(1, null)).isEqualTo(503 to "unknown")
            expectThat(fleet.serviceStats().totalRuns).isEqualTo(before + 1)
        }

    // G9, G10: guards against a second attempt after a timeout.
    @Test
    @Order(2)
    fun `a reservation that hangs is not sent again`() =
        runBlocking<Unit> {
            fleet.faults(fleet.service.port, """{"hang":true,"times":1}""")
            expectThat(fleet.reserve(0, "hangs")).isEqualTo(503 to "unknown")
            expectThat(fleet.reserve(1, "hangs")).isEqualTo(409 to "unknown")
            expectThat(runs("hangs")).isEqualTo(0)
        }

    // G9, G10: guards against two claims when the store's answers are lost after the effect.
    @Test
    @Order(3)
    fun `reservations run once while the platform loses answers`() =
        runBlocking<Unit> {
            fleet.faults(fleet.platformControlPort, """{"loseAnswersAfterEffect":0.4}""")
            val first = (0 until 24).map { n -> async { fleet.reserve(n % 3, "lost-$n") } }.awaitAll()
            val afterFirst = fleet.serviceStats().runs
            first.forEachIndexed { n, (_, run) ->
                if (run == "not-run") expectThat(afterFirst["lost-$n"] ?: 0).isEqualTo(0)
                if (run == "run") expectThat(afterFirst["lost-$n"]).isEqualTo(1)
            }
            val repeats = (0 until 24).map { n -> async { fleet.reserve((n + 1) % 3, "lost-$n") } }.awaitAll()
            fleet.faults(fleet.platformControlPort, "{}")
            println("lost store answers: first ${first.groupingBy { it }.eachCount()}, repeats $repeats")
            repeat(24) { expectThat(runs("lost-$it")).isLessThanOrEqualTo(1) }
            expectThat(first.count { it.first == 200 }).isGreaterThan(0)
        }

    // G9, G10: guards against a repeat elsewhere when the claiming instance dies with the call on its way.
    @Test
    @Order(4)
    fun `a reservation is not sent again after its instance was killed between claim and answer`() =
        runBlocking<Unit> {
            fleet.faults(fleet.service.port, """{"delayMillis":1500,"times":1}""")
            val lost = async { fleet.reserve(2, "killed") }
            delay(700)
            checkNotNull(fleet.instances[2].process).kill()
            expectThat(lost.await().first).isEqualTo(null)
            expectThat(fleet.reserve(0, "killed")).isEqualTo(409 to "unknown")
            delay(1_500)
            expectThat(fleet.reserve(1, "killed")).isEqualTo(409 to "unknown")
            expectThat(runs("killed")).isLessThanOrEqualTo(1)
            fleet.startInstance(fleet.instances[2])
            fleet.awaitReady(fleet.instances[2])
        }

    private suspend fun streamsDuring(
        name: String,
        fault: suspend () -> Unit,
    ): List<CallerOutcome> =
        coroutineScope {
            val streams = (0 until 12).map { n -> async { fleet.chat(n % 3, "$name $n", TOKENS) } }
            fault()
            streams.awaitAll().onEachIndexed { n, outcome ->
                val expected = answerText("$name $n", TOKENS)
                expectThat(outcome.isWhole(expected) || outcome.failedVisibly(expected)).isTrue()
            }
        }

    private fun report(
        name: String,
        outcomes: List<CallerOutcome>,
    ) {
        val whole = outcomes.count { it.stream?.done == true }
        println("$name: $whole whole, ${outcomes.size - whole} with a visible error")
        expectThat(whole).isGreaterThan(0)
    }

    // G2, G8: guards against a short stream that looks whole after an engine's process is killed.
    @Test
    @Order(5)
    fun `streams are exact or end with an error when an engine is killed`() =
        runBlocking<Unit> {
            val outcomes =
                streamsDuring("engine killed") {
                    delay(600)
                    fleet.engines[0].process.kill()
                }
            fleet.restartEngine(0)
            report("engine killed", outcomes)
        }

    // G1, G2, G8: guards against chunks or cache entries of an engine's former life.
    @Test
    @Order(6)
    fun `streams are exact or end with an error when engines reset`() =
        runBlocking<Unit> {
            val outcomes =
                streamsDuring("engine reset") {
                    delay(600)
                    fleet.faults(fleet.engines[1].port, """{"reset":true}""")
                }
            report("engine reset", outcomes)
        }

    // G2, G8: guards against another request's answer, moved chunks and a cut body that ends as if whole.
    @Test
    @Order(7)
    fun `crossed ids, wrong indexes and cut bodies never reach a caller as an answer`() =
        runBlocking<Unit> {
            val faults = listOf(""""wrongRequestId":true""", """"wrongIndexAt":7""", """"cutBeforeEnd":true""")
            for (fault in faults) {
                fleet.engines.forEach { fleet.faults(it.port, """{$fault,"times":2}""") }
                report(fault, streamsDuring("fault $fault") {})
                fleet.engines.forEach { fleet.faults(it.port, "{}") }
            }
        }

    private class Sent(
        val prompt: String,
        val bundleBefore: Boolean,
        val sentNanos: Long,
        val outcome: CallerOutcome,
    )

    private suspend fun sendOne(
        instance: Int,
        number: Int,
    ): Sent {
        val prompt = "rollout $instance $number"
        val inForce = fleet.hasBundle(instance, 2)
        return Sent(prompt, inForce, System.nanoTime(), fleet.chat(instance, prompt, 20))
    }

    // G1: guards against answers of older weights, and against answers that mix two versions.
    @Test
    @Order(8)
    fun `no instance sends older weights once the new bundle is in force there`() =
        runBlocking<Unit> {
            val traffic = (0..2).map { instance -> async { sendThroughRollout(instance) } }
            launch {
                delay(1_500)
                fleet.publish(2, "v2")
            }
            val all = traffic.awaitAll().flatten()
            val versions = all.groupingBy(::versionOf).eachCount()
            for (sent in all) {
                val version = versionOf(sent)
                if (sent.bundleBefore) expectThat(version).isNotEqualTo("v1")
                expectThat(version).isContainedIn(listOf("v1", "v2", "visible failure"))
            }
            val refusedAt = all.filter { it.outcome.status != 200 }.map { it.sentNanos / 1_000_000 }
            val gapMillis = (refusedAt.maxOrNull() ?: 0) - (refusedAt.minOrNull() ?: 0)
            println("rollout: refusals over $gapMillis ms")
            println(
                "rollout: $versions, statuses ${all.groupingBy {
                    it.outcome.status
                }.eachCount()}, ${all.count { it.bundleBefore }} sent with the new bundle in force",
            )
            // Guards against refusals while engines load: requests wait for one that has loaded.
            expectThat(refusedAt).isEmpty()
            expectThat(versions["v2"] ?: 0).isGreaterThan(0)
            expectThat(versions["v1"] ?: 0).isGreaterThan(0)
        }

    /** Sends one request after another until ten had answers of the new weights, for at most 25 s. */
    private suspend fun sendThroughRollout(instance: Int): List<Sent> {
        val end = System.nanoTime() + 25_000_000_000
        val sent = ArrayList<Sent>()
        while (sent.count { versionOf(it) == "v2" } < 10 && System.nanoTime() < end) {
            sent += sendOne(instance, sent.size)
            delay(50)
        }
        return sent
    }

    private fun versionOf(sent: Sent): String {
        val texts = listOf("v1", "v2").associateWith { answerText(sent.prompt, 20, it) }
        return texts.entries.firstOrNull { sent.outcome.isWhole(it.value) }?.key
            ?: if (texts.values.any(sent.outcome::failedVisibly)) "visible failure" else "wrong"
    }

    private companion object {
        const val TOKENS = 60
    }
}
