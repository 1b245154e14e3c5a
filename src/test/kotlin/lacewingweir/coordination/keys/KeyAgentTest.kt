package lacewingweir.coordination.keys

import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.runBlocking
import lacewingweir.coordination.peer.FakePeers
import lacewingweir.coordination.store.FakeConfigStore
import lacewingweir.coordination.store.StorePoller
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.Customer
import lacewingweir.state.id.BundleNumber
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.InstanceName
import lacewingweir.state.keys.KeyDirectory
import lacewingweir.state.keys.KeyRecord
import lacewingweir.state.keys.KeyRecordCodec
import lacewingweir.state.keys.KeyStatus
import lacewingweir.testing.ManualTimers
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

internal class KeyAgentTest {
    private val digest = KeyDirectory.digestOf("secret")
    private val customer = CustomerId("c1")
    private val bundle =
        Bundle(BundleNumber(1), listOf(Customer(customer, 1, 1, keys = listOf(digest))), listOf(), listOf(), listOf())
    private val tombstone = KeyRecord(digest, customer, KeyStatus.WITHDRAWN)
    private val storeKey = KeyRecordCodec.STORE_PREFIX + digest.value
    private val accepted = KeyDecision.Accepted(customer)
    private val store = FakeConfigStore()
    private val peers = FakePeers()
    private val timers = ManualTimers()

    /** An instance whose proof is its last successful poll, or [heartbeats] if that is set. */
    private inner class Instance(
        name: String,
    ) {
        private var provenAt: Long? = null
        var heartbeats = false
        val agent =
            KeyAgent(
                store,
                peers.join(name),
                timers,
                { if (heartbeats) 0 else provenAt?.let { timers.nowMillis() - it } ?: Long.MAX_VALUE },
                3_000,
                timers,
                PrometheusRegistry(),
            )
        private val poller = StorePoller(store, timers, timers, { false }, PrometheusRegistry())

        init {
            poller.onEntry(agent::onStoreEntry)
            poller.onSuccess {
                provenAt = it
                agent.onStorePolled()
            }
            poller.onRegression(agent::onStoreRegressed)
            agent.start()
            agent.onBundleAdopted(bundle)
        }

        fun polling(): Instance = apply { poller.start() }
    }

    @Test
    fun `a key is decided on once the store was read`() {
        val instance = Instance("a")
        expectThat(instance.agent.authenticate(digest)).isA<KeyDecision.Stale>()
        instance.polling()
        timers.advance(10)
        expectThat(instance.agent.authenticate(digest)).isEqualTo(accepted)
        expectThat(instance.agent.authenticate(KeyDirectory.digestOf("other"))).isEqualTo(KeyDecision.Rejected)
    }

    // Guards against a withdrawn key that works on because news between peers got lost (G6: 3 s).
    @Test
    fun `a withdrawal reaches an instance and its open streams by the poll alone`() {
        val instance = Instance("a").polling()
        peers.silent = true
        timers.advance(2_000)
        var ended = 0
        instance.agent.onWithdrawal(digest) { ended++ }
        store.put(storeKey, KeyRecordCodec.encode(tombstone))
        timers.advance(1_200)
        expectThat(instance.agent.authenticate(digest)).isEqualTo(KeyDecision.Rejected)
        expectThat(ended).isEqualTo(1)
        timers.advance(10_000)
        instance.agent.onWithdrawal(digest) { ended++ }
        expectThat(ended).isEqualTo(2)
    }

    // Guards against an instance that is cut off and honours keys that may have been withdrawn.
    @Test
    fun `a proof older than the limit gives stale and ends open streams`() {
        val instance = Instance("a").polling()
        timers.advance(100)
        var ended = false
        var cancelled = false
        instance.agent.onWithdrawal(digest) { ended = true }
        instance.agent.onWithdrawal(digest) { cancelled = true }.cancel()
        store.down = true
        timers.advance(1_500)
        expectThat(instance.agent.authenticate(digest)).isEqualTo(accepted)
        expectThat(ended).isFalse()
        timers.advance(2_100)
        expectThat(instance.agent.authenticate(digest)).isEqualTo(KeyDecision.Stale(1_000))
        expectThat(ended).isTrue()
        expectThat(cancelled).isFalse()
        store.down = false
        timers.advance(4_400)
        expectThat(instance.agent.authenticate(digest)).isEqualTo(accepted)
    }

    // Guards against a withdrawal that is lost because it was made while the store was down.
    @Test
    fun `a withdrawal during an outage reaches peers at once and the store later`() =
        runBlocking<Unit> {
            val a = Instance("a").polling()
            val b = Instance("b").polling()
            val c = Instance("c").polling()
            timers.advance(100)
            listOf(a, b, c).forEach { it.heartbeats = true }
            store.down = true
            peers.cutOff.add("c")
            val result = a.agent.withdraw(digest, waitMillis = 0)
            expectThat(result.confirmed).containsExactly(InstanceName("a"), InstanceName("b"))
            expectThat(result.inStore).isFalse()
            expectThat(b.agent.authenticate(digest)).isEqualTo(KeyDecision.Rejected)
            expectThat(c.agent.authenticate(digest)).isEqualTo(accepted)
            peers.cutOff.clear()
            timers.advance(1_100)
            expectThat(c.agent.authenticate(digest)).isEqualTo(KeyDecision.Rejected)
            store.down = false
            store.loseAnswers = 1
            timers.advance(6_000)
            expectThat(KeyRecordCodec.decode(checkNotNull(store.value(storeKey)))).isEqualTo(tombstone)
        }

    // Guards against an operator who waits for a slow store while the peers have confirmed long ago.
    @Test
    fun `a withdrawal is answered in time by peers while the store hangs`() =
        runBlocking<Unit> {
            val a = Instance("a").polling()
            Instance("b").polling()
            timers.advance(100)
            store.delayMillis = 60_000
            val result = a.agent.withdraw(digest, waitMillis = 200)
            expectThat(result.confirmed).containsExactly(InstanceName("a"), InstanceName("b"))
            expectThat(result.inStore).isFalse()
            store.delayMillis = 0
            expectThat(a.agent.withdraw(digest, waitMillis = 2_000).inStore).isTrue()
        }

    // Guards against a restarted instance that honours a withdrawn key until it hears of the withdrawal.
    @Test
    fun `a new instance without the store decides only when it holds the records of its ready peers`() =
        runBlocking<Unit> {
            val a = Instance("a").polling()
            timers.advance(100)
            store.down = true
            a.heartbeats = true
            a.agent.withdraw(digest, waitMillis = 0)
            val b = Instance("b")
            b.heartbeats = true
            expectThat(b.agent.authenticate(digest)).isA<KeyDecision.Stale>()
            b.agent.onPeerHeartbeat(InstanceName("a"), 0, ready = false)
            expectThat(b.agent.authenticate(digest)).isA<KeyDecision.Stale>()
            b.agent.onPeerHeartbeat(InstanceName("a"), a.agent.weightedRecordCount, ready = true)
            expectThat(b.agent.authenticate(digest)).isEqualTo(KeyDecision.Rejected)
        }

    // Guards against a restored store from which a new instance would learn an older set of keys.
    @Test
    fun `a restored store gets back the withdrawals that it lost`() {
        Instance("a").polling()
        val copy = store.copy()
        store.put(storeKey, KeyRecordCodec.encode(tombstone))
        timers.advance(1_200)
        store.restore(copy)
        timers.advance(3_000)
        expectThat(KeyRecordCodec.decode(checkNotNull(store.value(storeKey)))).isEqualTo(tombstone)
    }

    @Test
    fun `peers that hold fewer records get the missing ones`() {
        val a = Instance("a")
        val b = Instance("b").polling()
        timers.advance(100)
        store.put(storeKey, KeyRecordCodec.encode(tombstone))
        store.down = true
        a.agent.onStoreEntry(lacewingweir.coordination.store.StoreEntry(storeKey, KeyRecordCodec.encode(tombstone), 1))
        expectThat(b.agent.weightedRecordCount).isEqualTo(0)
        a.agent.onPeerHeartbeat(InstanceName("b"), b.agent.weightedRecordCount, ready = true)
        expectThat(b.agent.authenticate(digest)).isEqualTo(KeyDecision.Rejected)
    }
}
