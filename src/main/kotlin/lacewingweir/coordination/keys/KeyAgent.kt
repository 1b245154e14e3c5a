/** Grants and withdrawals of callers' keys over the fleet; design sections 5.2 and 5.4. */
package lacewingweir.coordination.keys

import io.github.oshai.kotlinlogging.KotlinLogging
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import lacewingweir.coordination.membership.ContactProof
import lacewingweir.coordination.peer.KeyChanges
import lacewingweir.coordination.peer.KeyConfirmation
import lacewingweir.coordination.peer.PeerAddress
import lacewingweir.coordination.peer.PeerNetwork
import lacewingweir.coordination.peer.StateRequest
import lacewingweir.coordination.store.ConfigStore
import lacewingweir.coordination.store.StoreEntry
import lacewingweir.coordination.store.StoreResult
import lacewingweir.coordination.time.Subscription
import lacewingweir.coordination.time.TimerService
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.InstanceName
import lacewingweir.state.id.KeyDigest
import lacewingweir.state.keys.KeyDirectory
import lacewingweir.state.keys.KeyRecord
import lacewingweir.state.keys.KeyRecordCodec
import lacewingweir.state.keys.KeyStatus
import lacewingweir.state.time.MonotonicClock
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

/**
 * Decides on callers' keys from records of the bundle, the store and the peers.
 *
 * Keys are honoured only while [proof] is at most [keyFreshnessMillis] old and the records were loaded once: from a
 * whole poll of the store, or from peers until no ready one shows more records. Otherwise the decision is
 * [KeyDecision.Stale], and open streams of keyed requests end.
 *
 * Records that the store lacks are written to it when it answers. Until then withdrawals are sent to all peers again
 * and again, because equal record counts do not show that two instances hold different records.
 */
public class KeyAgent(
    private val store: ConfigStore,
    private val network: PeerNetwork,
    private val timers: TimerService,
    private val proof: ContactProof,
    private val keyFreshnessMillis: Long,
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
    registry: PrometheusRegistry = PrometheusRegistry.defaultRegistry,
    private val random: Random = Random.Default,
) : KeyAuthenticator {
    private val recordGauge =
        Gauge
            .builder()
            .name("key_records")
            .help("Key records held outside the bundle.")
            .register(registry)
    private val decisions =
        Counter
            .builder()
            .name("key_decisions")
            .help("Decisions on keys.")
            .labelNames("decision")
            .register(registry)
    private val accepted = decisions.labelValues("accepted")
    private val rejected = decisions.labelValues("rejected")
    private val stale = decisions.labelValues("stale")

    private val directory = AtomicReference(KeyDirectory.EMPTY)
    private val subscriptions = WithdrawalSubscriptions()

    /** Status of each record as the store was seen to hold it. */
    private val inStore = ConcurrentHashMap<KeyDigest, KeyStatus>()

    /** Instances that are known to hold the withdrawal of a digest, for withdrawals that the store lacks. */
    private val confirmations = ConcurrentHashMap<KeyDigest, MutableSet<InstanceName>>()

    /** Send time of the last request for records; long ago if there was none. */
    private val lastRequestAt = AtomicLong(Long.MIN_VALUE / 2)

    /** Record counts that ready peers showed last. */
    private val peerCounts = ConcurrentHashMap<InstanceName, Int>()

    @Volatile
    private var storeListed = false

    @Volatile
    private var loaded = false

    /** Measure of the records held, to be sent in heartbeats. */
    public val weightedRecordCount: Int
        get() = directory.get().weightedRecordCount

    /** Whether keys are decided on now. */
    public val fresh: Boolean
        get() = loaded && proof.ageMillis() <= keyFreshnessMillis

    override fun authenticate(digest: KeyDigest): KeyDecision {
        if (!fresh) {
            stale.inc()
            return KeyDecision.Stale(RETRY_AFTER_MILLIS)
        }
        val customer = directory.get().customerOf(digest)
        if (customer == null) {
            rejected.inc()
            return KeyDecision.Rejected
        }
        accepted.inc()
        return KeyDecision.Accepted(customer)
    }

    override fun onWithdrawal(
        digest: KeyDigest,
        action: () -> Unit,
    ): Subscription {
        val subscription = subscriptions.add(digest, action)
        if (!fresh || directory.get().customerOf(digest) == null) subscriptions.fire(digest)
        return subscription
    }

    /** Takes part in the exchange with peers, writes to the store and watches the age of the proof. */
    public fun start() {
        network.subscribe { from, message ->
            when (message) {
                is KeyChanges -> received(from, message.records)
                is KeyConfirmation -> message.digests.forEach { confirmations[it]?.add(from.name) }
                is StateRequest -> sendAll(from.name)
                else -> Unit
            }
        }
        timers.every("key freshness", FRESHNESS_CHECK_MILLIS, jitter = 0.0) { if (!fresh) subscriptions.fireAll() }
        timers.every("key write-back", WRITE_BACK_PERIOD_MILLIS) {
            resendWithdrawals()
            writeBack()
        }
    }

    /** Takes an entry of the store; those that are no key records are passed over. */
    public fun onStoreEntry(entry: StoreEntry) {
        if (!entry.key.startsWith(KeyRecordCodec.STORE_PREFIX)) return
        val record = KeyRecordCodec.decode(entry.value)
        if (record == null || entry.key != storeKey(record.digest)) {
            logger.error { "keys: malformed record ${entry.key} in the store" }
            return
        }
        inStore[record.digest] = record.status
        merge(listOf(record))
    }

    /** To be called after each successful poll of the store, when its entries were handed over. */
    public fun onStorePolled() {
        storeListed = true
        loaded = true
    }

    /** To be called when the store was restored from an older copy, before its entries are handed over. */
    public fun onStoreRegressed() {
        inStore.clear()
    }

    /** To be called when a bundle comes into force. Keys that it no longer has stop working. */
    public fun onBundleAdopted(bundle: Bundle) {
        directory.updateAndGet { it.withBundle(bundle) }
        endRejectedStreams()
    }

    /**
     * To be called when a peer's heartbeat shows its record count. A peer that holds fewer gets the records from a few
     * of its peers. Only a [ready] peer shows whether this instance's own records are complete.
     */
    public fun onPeerHeartbeat(
        name: InstanceName,
        count: Int,
        ready: Boolean,
    ) {
        if (ready) peerCounts[name] = count else peerCounts.remove(name)
        val peers = network.connectedPeers().size
        if (count < weightedRecordCount && random.nextInt(peers.coerceAtLeast(1)) < SENDING_PEERS) sendAll(name)
        if (count > weightedRecordCount && !loaded) requestState(name)
        loadedFromPeers()
    }

    /**
     * Withdraws a key, tells all connected peers and the store, and waits at most [waitMillis] for confirmations.
     * If the store does not answer in that time, the withdrawal is kept and passed on, and written to the store later.
     */
    public suspend fun withdraw(
        digest: KeyDigest,
        waitMillis: Long = CONFIRM_WAIT_MILLIS,
    ): WithdrawalResult {
        val deadline = clock.nowMillis() + waitMillis
        val confirmed = confirmationsOf(digest)
        val customer =
            directory.get().record(digest)?.customer ?: directory.get().customerOf(digest) ?: UNKNOWN_CUSTOMER
        val record = KeyRecord(digest, customer, KeyStatus.WITHDRAWN)
        merge(listOf(record))
        logger.info { "keys: key ${digest.value.take(DIGEST_LOG_CHARS)} withdrawn through this instance" }
        var peers = network.connectedPeers().map { it.name }
        peers.forEach { network.send(it, KeyChanges(listOf(record))) }
        val stored = withTimeoutOrNull(waitMillis) { write(record) } ?: false
        while (clock.nowMillis() < deadline) {
            peers = network.connectedPeers().map { it.name }
            if (confirmed.containsAll(peers)) break
            delay(CONFIRM_CHECK_MILLIS)
        }
        return WithdrawalResult(
            confirmed = (confirmed + network.self.name).sortedBy { it.value },
            unconfirmed = (peers - confirmed).sortedBy { it.value },
            inStore = stored,
        )
    }

    private fun requestState(name: InstanceName) {
        val now = clock.nowMillis()
        val last = lastRequestAt.get()
        if (now - last >= REQUEST_PERIOD_MILLIS && lastRequestAt.compareAndSet(last, now)) {
            network.send(name, StateRequest)
        }
    }

    private fun received(
        from: PeerAddress,
        records: List<KeyRecord>,
    ) {
        merge(records)
        val withdrawn = records.filter { it.status == KeyStatus.WITHDRAWN }.map { it.digest }
        for (digest in withdrawn) confirmations[digest]?.add(from.name)
        if (withdrawn.isNotEmpty()) network.send(from.name, KeyConfirmation(withdrawn))
        loadedFromPeers()
    }

    private fun loadedFromPeers() {
        if (loaded) return
        val live = network.connectedPeers().map { it.name }.toSet()
        val counts = peerCounts.filterKeys { it in live }.values
        if (counts.isNotEmpty() && counts.all { it <= weightedRecordCount }) {
            loaded = true
            logger.info { "keys: loaded from peers, $weightedRecordCount records" }
        }
    }

    private fun merge(records: List<KeyRecord>) {
        val before = directory.get()
        val after = directory.updateAndGet { it.mergedWith(records) }
        if (after === before) return
        recordGauge.set(after.weightedRecordCount.toDouble())
        endRejectedStreams()
    }

    private fun endRejectedStreams() {
        val now = directory.get()
        for (digest in subscriptions.digests()) if (now.customerOf(digest) == null) subscriptions.fire(digest)
    }

    private fun sendAll(name: InstanceName) {
        directory
            .get()
            .records()
            .chunked(RECORDS_PER_MESSAGE)
            .forEach { network.send(name, KeyChanges(it)) }
    }

    private fun missingInStore(): List<KeyRecord> =
        directory.get().records().filter {
            inStore[it.digest] != it.status && inStore[it.digest] != KeyStatus.WITHDRAWN
        }

    private fun resendWithdrawals() {
        val withdrawn = missingInStore().filter { it.status == KeyStatus.WITHDRAWN }.take(RECORDS_PER_MESSAGE)
        for (peer in network.connectedPeers()) {
            val lacking = withdrawn.filter { peer.name !in confirmationsOf(it.digest) }
            if (lacking.isNotEmpty()) network.send(peer.name, KeyChanges(lacking))
        }
    }

    private fun confirmationsOf(digest: KeyDigest): MutableSet<InstanceName> =
        confirmations.computeIfAbsent(digest) { ConcurrentHashMap.newKeySet() }

    private suspend fun writeBack() {
        if (!storeListed) return
        for (record in missingInStore().shuffled().take(WRITES_PER_PERIOD)) if (!write(record)) return
    }

    /** Writes [record] to the store unless it holds as much already. Returns whether the store holds it. */
    private suspend fun write(record: KeyRecord): Boolean {
        repeat(WRITE_ATTEMPTS) {
            // After a conflict or a lost answer the next attempt reads the record back.
            val read = store.get(storeKey(record.digest)) as? StoreResult.Ok ?: return false
            val held = read.value?.let { KeyRecordCodec.decode(it.value) }
            val holdsAsMuch = held != null && (held.status == record.status || held.status == KeyStatus.WITHDRAWN)
            if (holdsAsMuch || writeOver(read.value, record)) {
                inStore[record.digest] = held?.takeIf { holdsAsMuch }?.status ?: record.status
                return true
            }
        }
        return false
    }

    private suspend fun writeOver(
        entry: StoreEntry?,
        record: KeyRecord,
    ): Boolean {
        val value = KeyRecordCodec.encode(record)
        return store.compareAndSet(storeKey(record.digest), entry?.modRevision ?: 0, value) == StoreResult.Ok(true)
    }

    public companion object {
        /** How long [withdraw] waits for peers by default. */
        public const val CONFIRM_WAIT_MILLIS: Long = 2_000

        /** The customer of a withdrawal of a key that this instance did not know. */
        public val UNKNOWN_CUSTOMER: CustomerId = CustomerId("unknown")

        private const val RETRY_AFTER_MILLIS: Long = 1_000
        private const val FRESHNESS_CHECK_MILLIS: Long = 50
        private const val WRITE_BACK_PERIOD_MILLIS: Long = 1_000
        private const val CONFIRM_CHECK_MILLIS: Long = 20
        private const val RECORDS_PER_MESSAGE: Int = 200
        private const val WRITES_PER_PERIOD: Int = 20
        private const val WRITE_ATTEMPTS: Int = 3
        private const val REQUEST_PERIOD_MILLIS: Long = 300

        /** Peers that send their records to one that holds fewer, on average; all would send the same. */
        private const val SENDING_PEERS: Int = 3
        private const val DIGEST_LOG_CHARS: Int = 12

        private fun storeKey(digest: KeyDigest): String = KeyRecordCodec.STORE_PREFIX + digest.value
    }
}
