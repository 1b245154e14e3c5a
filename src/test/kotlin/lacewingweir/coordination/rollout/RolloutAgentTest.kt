package lacewingweir.coordination.rollout

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.bundle.EndpointKind
import lacewingweir.state.bundle.Model
import lacewingweir.state.id.BundleNumber
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.Incarnation
import lacewingweir.state.id.InstanceName
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.WeightsVersion
import lacewingweir.testing.ManualTimers
import lacewingweir.testing.MemoryConfigStore
import lacewingweir.testing.MemoryConfigStore.Fault
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random

internal class RolloutAgentTest {
    /** Two engines that load instantly and may ignore fencing tokens. [beforeLoad] can delay a command. */
    private class FakeEngines(
        private val checksFencing: Boolean,
    ) : EngineControl {
        val weights = mutableMapOf(EndpointId("a") to "v1", EndpointId("b") to "v1")
        val commands = mutableListOf<Long>()
        var beforeStatus: suspend () -> Unit = {}
        var beforeLoad: suspend () -> Unit = {}
        var highestToken = 0L

        override suspend fun status(endpoint: Endpoint): EngineStatus {
            beforeStatus()
            val model = LoadedModel(ModelName("m"), WeightsVersion(weights.getValue(endpoint.id)), false)
            return EngineStatus(Incarnation("i"), false, 0, 0, listOf(model))
        }

        override suspend fun load(
            endpoint: Endpoint,
            model: ModelName,
            weights: WeightsVersion,
            fencingToken: Long,
        ): CommandResult {
            beforeLoad()
            if (checksFencing && fencingToken < highestToken) return CommandResult.Fenced
            highestToken = maxOf(highestToken, fencingToken)
            commands.add(fencingToken)
            this.weights[endpoint.id] = weights.value
            return CommandResult.Accepted
        }
    }

    private val store = MemoryConfigStore()
    private val clock = ManualTimers()

    private fun bundle(weights: String): Bundle =
        Bundle(
            BundleNumber(1),
            emptyList(),
            listOf(Model(ModelName("m"), WeightsVersion(weights))),
            listOf("a", "b").map {
                val models = listOf(ModelName("m"))
                Endpoint(EndpointId(it), EndpointKind.ENGINE, "127.0.0.1", 1, FailureDomain("d"), models)
            },
            emptyList(),
        )

    private fun agent(
        name: String,
        engines: EngineControl,
        weights: String = "v2",
    ): RolloutAgent = RolloutAgent(InstanceName(name), store, { bundle(weights) }, engines, clock, random = Random(1))

    private suspend fun awaitTakeover(agent: RolloutAgent) {
        agent.reconcile()
        expectThat(agent.fencingToken).isNull()
        clock.advance(RolloutSettings().leaseMillis + 650 + 3_001)
        agent.reconcile()
    }

    @Test
    fun `the leader loads the bundle's weights on all engines and renews its leadership`() =
        runBlocking<Unit> {
            val engines = FakeEngines(checksFencing = true)
            val leader = agent("one", engines)
            val other = agent("two", engines)
            repeat(10) {
                leader.reconcile()
                other.reconcile()
                clock.advance(3_000)
            }
            expectThat(leader.fencingToken).isEqualTo(1)
            expectThat(other.fencingToken).isNull()
            expectThat(engines.weights.values.toSet()).isEqualTo(setOf("v2"))
            expectThat(engines.commands).isEqualTo(mutableListOf(1L, 1L))
            leader.resign()
            other.reconcile()
            expectThat(other.fencingToken).isEqualTo(2)
        }

    // Guards against a leader that is paused until its lease has expired and then sends commands alongside its
    // successor.
    @Test
    fun `a leader that is paused before its commands sends none after its lease has expired`() =
        runBlocking<Unit> {
            val engines = FakeEngines(checksFencing = false)
            val resume = CompletableDeferred<Unit>()
            val statusRequested = CompletableDeferred<Unit>()
            engines.beforeStatus = {
                statusRequested.complete(Unit)
                resume.await()
            }
            val paused = agent("one", engines, weights = "old")
            val reconciliation = async { paused.reconcile() }
            statusRequested.await()
            expectThat(paused.fencingToken).isEqualTo(1)
            engines.beforeStatus = {}
            val successor = agent("two", engines)
            awaitTakeover(successor)
            expectThat(successor.fencingToken).isEqualTo(2)
            resume.complete(Unit)
            reconciliation.await()
            expectThat(engines.commands.toSet()).isEqualTo(setOf(2L))
            paused.reconcile()
            expectThat(paused.fencingToken).isNull()
        }

    // Guards against a late command that remains in effect on an engine that ignores fencing tokens.
    @Test
    fun `a late command of a previous leader is refused or corrected`() =
        runBlocking<Unit> {
            for (checksFencing in listOf(true, false)) {
                val engines = FakeEngines(checksFencing)
                val resume = CompletableDeferred<Unit>()
                val loadRequested = CompletableDeferred<Unit>()
                engines.beforeLoad = {
                    loadRequested.complete(Unit)
                    resume.await()
                }
                val paused = agent("one-$checksFencing", engines, weights = "old")
                val reconciliation = async { paused.reconcile() }
                loadRequested.await()
                engines.beforeLoad = {}
                val successor = agent("two-$checksFencing", engines)
                awaitTakeover(successor)
                repeat(2) { successor.reconcile() }
                resume.complete(Unit)
                reconciliation.await()
                expectThat(engines.weights.values.count { it == "old" }).isEqualTo(if (checksFencing) 0 else 1)
                repeat(2) { successor.reconcile() }
                expectThat(engines.weights.values.toSet()).isEqualTo(setOf("v2"))
                successor.resign()
            }
        }

    // Guards against losing the leadership, or wrongly assuming that it is still held, after a lost response of the
    // store.
    @Test
    fun `the leadership survives a lost response and two failed renewals and then expires`() =
        runBlocking<Unit> {
            val leader = agent("one", FakeEngines(true))
            store.writeFaults.add(Fault.LOSE_ANSWER)
            leader.reconcile()
            expectThat(leader.fencingToken).isEqualTo(1)
            // The lease of 9 s outlasts two failed renewals and expires at the third.
            repeat(2) {
                clock.advance(3_000)
                store.writeFaults.add(if (it % 2 == 0) Fault.LOSE_REQUEST else Fault.UNAVAILABLE)
                leader.reconcile()
                expectThat(leader.fencingToken).isNotNull()
            }
            clock.advance(3_000)
            expectThat(leader.fencingToken).isNull()
        }

    // Guards against a fleet that can't command its engines after the store lost the latest fencing tokens.
    @Test
    fun `a fenced leader raises its fencing token`() =
        runBlocking<Unit> {
            val engines = FakeEngines(checksFencing = true)
            engines.highestToken = 3
            val leader = agent("one", engines)
            repeat(6) {
                leader.reconcile()
                clock.advance(3_000)
            }
            expectThat(engines.commands.first()).isEqualTo(3)
            expectThat(engines.weights.values.toSet()).isEqualTo(setOf("v2"))
        }
}
