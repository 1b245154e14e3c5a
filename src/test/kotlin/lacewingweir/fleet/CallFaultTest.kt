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

/**
 * Reservations, streams and a rollout on one fleet of processes under faults of the service, engines, platform and
 * instances.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@TestMethodOrder(MethodOrderer.OrderAnnotation::class)
internal class CallFaultTest {
    private val fleet = ProcessFleet(engineArgs = listOf("--decode-millis-per-token", "20"))

    @AfterAll
    fun tearDown() = fleet.close()

    private suspend fun runs(order: String): Int = fleet.serviceStats().runs[order] ?: 0

    // Guards against a retry of a reservation whose answer was lost, and against the run state "not run" for it.
    @Test
    @Order(1)
    fun `a reservation whose answer is dropped runs once`() =
        runBlocking<Unit> {
            fleet.setFaults(fleet.service.port, """{"dropAnswer":true,"times":1}""")
            expectThat(fleet.reserve(0, "dropped")).isEqualTo(503 to "unknown")
            expectThat((0..2).map { fleet.reserve(it, "dropped") }).all { isEqualTo(409 to "unknown") }
            expectThat(runs("dropped")).isEqualTo(1)
            val runsBefore = fleet.serviceStats().totalRuns
            fleet.setFaults(fleet.service.port, """{"dropAnswer":true,"times":1}""")
            expectThat(fleet.reserve(1, null)).isEqualTo(503 to "unknown")
            expectThat(fleet.serviceStats().totalRuns).isEqualTo(runsBefore + 1)
        }

    // Guards against a retry of a reservation after a timeout.
    @Test
    @Order(2)
    fun `a reservation that hangs is not sent again`() =
        runBlocking<Unit> {
            fleet.setFaults(fleet.service.port, """{"hang":true,"times":1}""")
            expectThat(fleet.reserve(0, "hangs")).isEqualTo(503 to "unknown")
            expectThat(fleet.reserve(1, "hangs")).isEqualTo(409 to "unknown")
            expectThat(runs("hangs")).isEqualTo(0)
        }

    // Guards against two claims of a reservation when the store applies a write but its answer is lost.
    @Test
    @Order(3)
    fun `reservations run once while the platform loses answers`() =
        runBlocking<Unit> {
            fleet.setFaults(fleet.platformControlPort, """{"loseAnswersAfterEffect":0.4}""")
            val firstAttempts = (0 until 24).map { n -> async { fleet.reserve(n % 3, "lost-$n") } }.awaitAll()
            val runsAfterFirst = fleet.serviceStats().runs
            firstAttempts.forEachIndexed { n, (_, run) ->
                if (run == "not-run") expectThat(runsAfterFirst["lost-$n"] ?: 0).isEqualTo(0)
                if (run == "run") expectThat(runsAfterFirst["lost-$n"]).isEqualTo(1)
            }
            val retries = (0 until 24).map { n -> async { fleet.reserve((n + 1) % 3, "lost-$n") } }.awaitAll()
            fleet.setFaults(fleet.platformControlPort, "{}")
            println("lost store answers: first ${firstAttempts.groupingBy { it }.eachCount()}, repeats $retries")
            repeat(24) { expectThat(runs("lost-$it")).isLessThanOrEqualTo(1) }
            expectThat(firstAttempts.count { it.first == 200 }).isGreaterThan(0)
        }

    // Guards against a retry on another instance when the claiming instance is killed during the call.
    @Test
    @Order(4)
    fun `a reservation is not sent again after its instance was killed between claim and answer`() =
        runBlocking<Unit> {
            fleet.setFaults(fleet.service.port, """{"delayMillis":1500,"times":1}""")
            val killedCall = async { fleet.reserve(2, "killed") }
            delay(700)
            checkNotNull(fleet.instances[2].process).kill()
            expectThat(killedCall.await().first).isEqualTo(null)
            expectThat(fleet.reserve(0, "killed")).isEqualTo(409 to "unknown")
            delay(1_500)
            expectThat(fleet.reserve(1, "killed")).isEqualTo(409 to "unknown")
            expectThat(runs("killed")).isLessThanOrEqualTo(1)
            fleet.startInstance(fleet.instances[2])
            fleet.awaitReady(fleet.instances[2])
        }

    /** Runs 12 streams while [fault] is injected, and checks that each is exact or ends with an error. */
    private suspend fun streamsDuring(
        name: String,
        fault: suspend () -> Unit,
    ): List<CallerOutcome> =
        coroutineScope {
            val streams = (0 until 12).map { n -> async { fleet.chat(n % 3, "$name $n", STREAM_TOKENS) } }
            fault()
            streams.awaitAll().onEachIndexed { n, outcome ->
                val expected = answerText("$name $n", STREAM_TOKENS)
                expectThat(outcome.isComplete(expected) || outcome.failedVisibly(expected)).isTrue()
            }
        }

    private fun report(
        name: String,
        outcomes: List<CallerOutcome>,
    ) {
        val complete = outcomes.count { it.stream?.done == true }
        println("$name: $complete whole, ${outcomes.size - complete} with a visible error")
        expectThat(complete).isGreaterThan(0)
    }

    // Guards against a truncated stream that looks complete after the engine process is killed.
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

    // Guards against chunks or cache entries from before an engine's restart.
    @Test
    @Order(6)
    fun `streams are exact or end with an error when engines reset`() =
        runBlocking<Unit> {
            val outcomes =
                streamsDuring("engine reset") {
                    delay(600)
                    fleet.setFaults(fleet.engines[1].port, """{"reset":true}""")
                }
            report("engine reset", outcomes)
        }

    // Guards against delivery of another request's answer, of chunks out of order and of a truncated body as complete.
    @Test
    @Order(7)
    fun `answers with a wrong id, wrong indexes or a cut body never reach a caller as complete`() =
        runBlocking<Unit> {
            val faults = listOf(""""wrongRequestId":true""", """"wrongIndexAt":7""", """"cutBeforeEnd":true""")
            for (fault in faults) {
                fleet.engines.forEach { fleet.setFaults(it.port, """{$fault,"times":2}""") }
                report(fault, streamsDuring("fault $fault") {})
                fleet.engines.forEach { fleet.setFaults(it.port, "{}") }
            }
        }

    private class RolloutRequest(
        val prompt: String,
        val bundleInForce: Boolean,
        val sentNanos: Long,
        val outcome: CallerOutcome,
    )

    private suspend fun sendRequest(
        instance: Int,
        number: Int,
    ): RolloutRequest {
        val prompt = "rollout $instance $number"
        val bundleInForce = fleet.hasBundle(instance, 2)
        return RolloutRequest(prompt, bundleInForce, System.nanoTime(), fleet.chat(instance, prompt, 20))
    }

    // Guards against answers with outdated weights, and against answers that mix two versions.
    @Test
    @Order(8)
    fun `no instance answers with outdated weights once the new bundle is in force there`() =
        runBlocking<Unit> {
            val requestsByInstance = (0..2).map { instance -> async { sendDuringRollout(instance) } }
            launch {
                delay(1_500)
                fleet.publish(2, "v2")
            }
            val requests = requestsByInstance.awaitAll().flatten()
            val versions = requests.groupingBy(::versionOf).eachCount()
            for (request in requests) {
                val version = versionOf(request)
                if (request.bundleInForce) expectThat(version).isNotEqualTo("v1")
                expectThat(version).isContainedIn(listOf("v1", "v2", "visible failure"))
            }
            val refusedAtMillis = requests.filter { it.outcome.status != 200 }.map { it.sentNanos / 1_000_000 }
            val gapMillis = (refusedAtMillis.maxOrNull() ?: 0) - (refusedAtMillis.minOrNull() ?: 0)
            println("rollout: refusals over $gapMillis ms")
            println(
                "rollout: $versions, statuses ${requests.groupingBy {
                    it.outcome.status
                }.eachCount()}, ${requests.count { it.bundleInForce }} sent with the new bundle in force",
            )
            // While engines load the new weights, requests must wait for a loaded engine and not be refused.
            expectThat(refusedAtMillis).isEmpty()
            expectThat(versions["v2"] ?: 0).isGreaterThan(0)
            expectThat(versions["v1"] ?: 0).isGreaterThan(0)
        }

    /** Sends requests one by one until ten were answered with the new weights, for at most 25 s. */
    private suspend fun sendDuringRollout(instance: Int): List<RolloutRequest> {
        val deadlineNanos = System.nanoTime() + 25_000_000_000
        val sent = ArrayList<RolloutRequest>()
        while (sent.count { versionOf(it) == "v2" } < 10 && System.nanoTime() < deadlineNanos) {
            sent += sendRequest(instance, sent.size)
            delay(50)
        }
        return sent
    }

    private fun versionOf(request: RolloutRequest): String {
        val texts = listOf("v1", "v2").associateWith { answerText(request.prompt, 20, it) }
        return texts.entries.firstOrNull { request.outcome.isComplete(it.value) }?.key
            ?: if (texts.values.any(request.outcome::failedVisibly)) "visible failure" else "wrong"
    }

    private companion object {
        const val STREAM_TOKENS = 60
    }
}
