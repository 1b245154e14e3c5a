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
    private val acceptedDecision = KeyDecision.Accepted(customer)
    private val store = FakeConfigStore()
    private val peers = FakePeers()
    private val timers = ManualTimers()

    /** An instance whose proof of contact is its last successful poll, or always current if [heartbeats] is set. */
    private inner class Instance(
        name: String,
    ) {
        private var lastProofMillis: Long? = null
        var heartbeats = false
        val agent =
            KeyAgent(
                store,
                peers.join(name),
                timers,
                { if (heartbeats) 0 else lastProofMillis?.let { timers.nowMillis() - it } ?: Long.MAX_VALUE },
                3_000,
                timers,
                PrometheusRegistry(),
            )
        private val poller = StorePoller(store, timers, timers, { false }, PrometheusRegistry())

        init {
            poller.onEntry(agent::onStoreEntry)
            poller.onSuccess {
                lastProofMillis = it
                agent.onStorePolled()
            }
            poller.onRegression(agent::onStoreRegressed)
            agent.start()
            agent.onBundleAdopted(bundle)
        }

        fun startPolling(): Instance = apply { poller.start() }
    }

    @Test
    fun `keys are authenticated after the first poll of the store`() {
        val instance = Instance("a")
        expectThat(instance.agent.authenticate(digest)).isA<KeyDecision.Stale>()
        instance.startPolling()
        timers.advance(10)
        expectThat(instance.agent.authenticate(digest)).isEqualTo(acceptedDecision)
        expectThat(instance.agent.authenticate(KeyDirectory.digestOf("other"))).isEqualTo(KeyDecision.Rejected)
    }

    // Guards against a withdrawn key that stays valid because messages between peers are lost. The limit is 3 s.
    @Test
    fun `a withdrawal reaches an instance and its open streams through polls alone`() {
        val instance = Instance("a").startPolling()
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

    // Guards against a partitioned instance that accepts keys that may have been withdrawn.
    @Test
    fun `a proof older than the limit makes keys stale and terminates open streams`() {
        val instance = Instance("a").startPolling()
        timers.advance(100)
        var ended = false
        var cancelledActionRan = false
        instance.agent.onWithdrawal(digest) { ended = true }
        instance.agent.onWithdrawal(digest) { cancelledActionRan = true }.cancel()
        store.down = true
        timers.advance(1_500)
        expectThat(instance.agent.authenticate(digest)).isEqualTo(acceptedDecision)
        expectThat(ended).isFalse()
        timers.advance(2_100)
        expectThat(instance.agent.authenticate(digest)).isEqualTo(KeyDecision.Stale(1_000))
        expectThat(ended).isTrue()
        expectThat(cancelledActionRan).isFalse()
        store.down = false
        timers.advance(4_400)
        expectThat(instance.agent.authenticate(digest)).isEqualTo(acceptedDecision)
    }

    // Guards against losing a withdrawal that is made while the store is unreachable.
    @Test
    fun `a withdrawal during a store outage reaches peers immediately and the store later`() =
        runBlocking<Unit> {
            val a = Instance("a").startPolling()
            val b = Instance("b").startPolling()
            val c = Instance("c").startPolling()
            timers.advance(100)
            listOf(a, b, c).forEach { it.heartbeats = true }
            store.down = true
            peers.cutOff.add("c")
            val result = a.agent.withdraw(digest, waitMillis = 0)
            expectThat(result.confirmed).containsExactly(InstanceName("a"), InstanceName("b"))
            expectThat(result.inStore).isFalse()
            expectThat(b.agent.authenticate(digest)).isEqualTo(KeyDecision.Rejected)
            expectThat(c.agent.authenticate(digest)).isEqualTo(acceptedDecision)
            peers.cutOff.clear()
            timers.advance(1_100)
            expectThat(c.agent.authenticate(digest)).isEqualTo(KeyDecision.Rejected)
            store.down = false
            store.responsesToLose = 1
            timers.advance(6_000)
            expectThat(KeyRecordCodec.decode(checkNotNull(store.value(storeKey)))).isEqualTo(tombstone)
        }

    // Guards against a withdrawal call that waits for a slow store beyond its time limit.
    @Test
    fun `a withdrawal returns the confirmations of peers in time while the store hangs`() =
        runBlocking<Unit> {
            val a = Instance("a").startPolling()
            Instance("b").startPolling()
            timers.advance(100)
            store.delayMillis = 60_000
            val result = a.agent.withdraw(digest, waitMillis = 200)
            expectThat(result.confirmed).containsExactly(InstanceName("a"), InstanceName("b"))
            expectThat(result.inStore).isFalse()
            store.delayMillis = 0
            expectThat(a.agent.withdraw(digest, waitMillis = 2_000).inStore).isTrue()
        }

    // Guards against a restarted instance that accepts a withdrawn key until it receives the withdrawal.
    @Test
    fun `a new instance without the store authenticates keys only when it holds the records of its ready peers`() =
        runBlocking<Unit> {
            val a = Instance("a").startPolling()
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

    // Guards against a restored store that lacks withdrawals, so that new instances would accept withdrawn keys.
    @Test
    fun `withdrawals missing from a restored store are written back`() {
        Instance("a").startPolling()
        val copy = store.copy()
        store.put(storeKey, KeyRecordCodec.encode(tombstone))
        timers.advance(1_200)
        store.restore(copy)
        timers.advance(3_000)
        expectThat(KeyRecordCodec.decode(checkNotNull(store.value(storeKey)))).isEqualTo(tombstone)
    }

    @Test
    fun `peers with fewer records receive the missing ones`() {
        val a = Instance("a")
        val b = Instance("b").startPolling()
        timers.advance(100)
        store.put(storeKey, KeyRecordCodec.encode(tombstone))
        store.down = true
        a.agent.onStoreEntry(lacewingweir.coordination.store.StoreEntry(storeKey, KeyRecordCodec.encode(tombstone), 1))
        expectThat(b.agent.weightedRecordCount).isEqualTo(0)
        a.agent.onPeerHeartbeat(InstanceName("b"), b.agent.weightedRecordCount, ready = true)
        expectThat(b.agent.authenticate(digest)).isEqualTo(KeyDecision.Rejected)
    }
}
