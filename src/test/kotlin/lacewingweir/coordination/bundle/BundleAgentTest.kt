package lacewingweir.coordination.bundle

import io.prometheus.metrics.model.registry.PrometheusRegistry
import lacewingweir.coordination.peer.BundleOffer
import lacewingweir.coordination.peer.FakePeers
import lacewingweir.coordination.store.FakeConfigStore
import lacewingweir.coordination.store.StorePoller
import lacewingweir.protocol.bundle.BundleText
import lacewingweir.protocol.json.Validated
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.Ed25519
import lacewingweir.state.bundle.SignedBundle
import lacewingweir.state.bundle.SignedBundleCodec
import lacewingweir.state.id.BundleNumber
import lacewingweir.state.id.InstanceName
import lacewingweir.testing.ManualTimers
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

internal class BundleAgentTest {
    private val signingKeys = Ed25519.newKeyPair()
    private val store = FakeConfigStore()
    private val peers = FakePeers()
    private val timers = ManualTimers()

    private fun agent(name: String): BundleAgent {
        val agent =
            BundleAgent(
                store,
                peers.join(name),
                timers,
                mapOf("alice" to signingKeys.publicKey),
                ::check,
                PrometheusRegistry(),
            )
        agent.start()
        return agent
    }

    private fun poll(agent: BundleAgent): StorePoller {
        val poller = StorePoller(store, timers, timers, { false }, PrometheusRegistry())
        poller.onEntry(agent::onStoreEntry)
        poller.onSuccess { agent.onStorePolled() }
        poller.onRegression(agent::onStoreRegressed)
        poller.start()
        return poller
    }

    private fun check(payload: String): BundleCheckResult =
        when (val checked = BundleText.parse(payload)) {
            is Validated.Valid -> BundleCheckResult.Accepted(checked.value)
            is Validated.Invalid -> BundleCheckResult.Refused(checked.errors.map { it.toString() })
        }

    private fun signed(
        number: Long,
        privateKey: String = signingKeys.privateKey,
        payload: String = BundleText.canonical(Bundle(BundleNumber(number), listOf(), listOf(), listOf(), listOf())),
    ): SignedBundle = SignedBundle(payload, checkNotNull(Ed25519.sign(payload, privateKey)), "alice", "op-$number")

    private fun publish(bundle: SignedBundle) = store.put(BundleAgent.STORE_KEY, SignedBundleCodec.encode(bundle))

    private fun storeNumber(): Long? =
        store.value(BundleAgent.STORE_KEY)?.let { SignedBundleCodec.decode(it) }?.let { bundle ->
            (check(bundle.payload) as BundleCheckResult.Accepted).bundle.number.value
        }

    // Guards against adopting a configuration that is not signed by a trusted signer.
    @Test
    fun `invalid signatures, unknown signers and invalid payloads are refused and reported`() {
        val agent = agent("a")
        poll(agent)
        publish(signed(1))
        timers.advance(1_200)
        val forged = signed(2, Ed25519.newKeyPair().privateKey)
        for (bundle in listOf(forged, signed(3).copy(signer = "mallory"), signed(4, payload = "{\"number\": 4}"))) {
            publish(bundle)
            timers.advance(4_000)
            expectThat(store.value(BundleAgent.STORE_KEY)).isEqualTo(SignedBundleCodec.encode(bundle))
        }
        publish(signed(9).copy(payload = signed(10).payload))
        timers.advance(1_200)
        expectThat(agent.number.value).isEqualTo(1)
        expectThat(agent.refused()).hasSize(4)
        expectThat(agent.refused().map { it.reason }.joinToString())
            .contains("signature of alice does not match")
            .contains("signer mallory is not trusted")
            .contains("customers: found nothing")
    }

    // Guards against a bundle that reverts after the store was restored from an older copy.
    @Test
    fun `an older bundle in a restored store is refused and replaced by the newer one`() {
        val agent = agent("a")
        poll(agent)
        publish(signed(1))
        val copy = store.copy()
        publish(signed(2))
        timers.advance(1_200)
        expectThat(agent.number.value).isEqualTo(2)
        store.restore(copy)
        timers.advance(1_200)
        expectThat(agent.number.value).isEqualTo(2)
        expectThat(agent.refused().map { it.reason }).containsExactly("number 1 is not higher than 2 in force")
        timers.advance(5_000)
        expectThat(storeNumber()).isEqualTo(2)
    }

    @Test
    fun `a bundle missing from the store is written back, also if the response to a write is lost`() {
        val agent = agent("a")
        poll(agent)
        val empty = store.copy()
        publish(signed(5))
        timers.advance(1_200)
        store.restore(empty)
        store.responsesToLose = 1
        timers.advance(8_000)
        expectThat(storeNumber()).isEqualTo(5)
    }

    @Test
    fun `a peer with a lower number receives the bundle, and a new instance requests it while the store is down`() {
        val first = agent("a")
        poll(first)
        publish(signed(1))
        timers.advance(1_200)
        store.down = true
        val second = agent("b")
        timers.advance(400)
        expectThat(second.number.value).isEqualTo(1)
        peers.silent = true
        first.onStoreEntry(
            lacewingweir.coordination.store.StoreEntry("/lw/bundle", SignedBundleCodec.encode(signed(2)), 9),
        )
        peers.silent = false
        first.onPeerHeartbeat(InstanceName("b"), second.number)
        expectThat(second.number.value).isEqualTo(2)
        second.onPeerHeartbeat(InstanceName("a"), BundleNumber(1))
        expectThat(first.number.value).isEqualTo(2)
        expectThat(first.refused()).hasSize(0)
    }

    @Test
    fun `a different bundle with the same number as the one in force is refused`() {
        val sender = peers.join("x")
        val agent = agent("a")
        expectThat(agent.current()).isNull()
        sender.send(InstanceName("a"), BundleOffer(signed(1)))
        val other =
            Bundle(BundleNumber(1), listOf(), listOf(), listOf(), listOf(), lacewingweir.state.bundle.RolloutLimits(3))
        sender.send(InstanceName("a"), BundleOffer(signed(1, payload = BundleText.canonical(other))))
        expectThat(agent.current()?.rollout?.maxConcurrentLoads).isEqualTo(2)
        expectThat(agent.refused()).hasSize(1)
    }
}
