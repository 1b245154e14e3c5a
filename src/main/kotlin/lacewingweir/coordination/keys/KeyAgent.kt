/** Replication of caller key grants and withdrawals across the fleet. */
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
 * Authenticates caller keys with the key records of the bundle, the store and the peers.
 *
 * Keys are accepted only while [proof] is at most [keyFreshnessMillis] old and the initial load of the records is
 * complete. The initial load completes with the first full poll of the store, or when no ready peer reports a higher
 * weighted record count than this instance. Otherwise the decision is [KeyDecision.Stale], and open streams of
 * requests with a key are terminated.
 *
 * Records missing from the store are written to it once it is reachable. Until then, withdrawals are resent
 * periodically to all peers that have not confirmed them, because two instances with equal record counts may still
 * hold different records.
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
            .help("Weighted count of key records outside the bundle: a grant counts 1, a withdrawal 2.")
            .register(registry)
    private val decisions =
        Counter
            .builder()
            .name("key_decisions")
            .help("Authentication decisions on caller keys.")
            .labelNames("decision")
            .register(registry)
    private val accepted = decisions.labelValues("accepted")
    private val rejected = decisions.labelValues("rejected")
    private val stale = decisions.labelValues("stale")

    private val directory = AtomicReference(KeyDirectory.EMPTY)
    private val subscriptions = WithdrawalSubscriptions()

    /** Last status of each record read from or written to the store. */
    private val storeStatuses = ConcurrentHashMap<KeyDigest, KeyStatus>()

    /** Instances known to hold the withdrawal of each digest. */
    private val confirmations = ConcurrentHashMap<KeyDigest, MutableSet<InstanceName>>()

    /** Time of the last [StateRequest] sent. Starts at half of [Long.MIN_VALUE], so that its age can't overflow. */
    private val lastRequestMillis = AtomicLong(Long.MIN_VALUE / 2)

    /** Weighted record counts last reported by ready peers. */
    private val readyPeerCounts = ConcurrentHashMap<InstanceName, Int>()

    @Volatile
    private var storePolledOnce = false

    @Volatile
    private var loaded = false

    /** The weighted count of the records held, as sent in heartbeats; see [KeyDirectory.weightedRecordCount]. */
    public val weightedRecordCount: Int
        get() = directory.get().weightedRecordCount

    /** Whether the key records are loaded and recent enough to authenticate keys. */
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

    /** Subscribes to peer messages and starts the freshness check and the periodic write-back to the store. */
    public fun start() {
        network.subscribe { from, message ->
            when (message) {
                is KeyChanges -> onKeyChanges(from, message.records)
                is KeyConfirmation -> message.digests.forEach { confirmations[it]?.add(from.name) }
                is StateRequest -> sendAllRecords(from.name)
                else -> Unit
            }
        }
        timers.every("key freshness", FRESHNESS_CHECK_MILLIS, jitter = 0.0) { if (!fresh) subscriptions.fireAll() }
        timers.every("key write-back", WRITE_BACK_PERIOD_MILLIS) {
            resendWithdrawals()
            writeBack()
        }
    }

    /** Merges a key record read from the store. Ignores entries under other prefixes. */
    public fun onStoreEntry(entry: StoreEntry) {
        if (!entry.key.startsWith(KeyRecordCodec.STORE_PREFIX)) return
        val record = KeyRecordCodec.decode(entry.value)
        if (record == null || entry.key != storeKey(record.digest)) {
            logger.error { "keys: ignored malformed record ${entry.key} in the store" }
            return
        }
        storeStatuses[record.digest] = record.status
        merge(listOf(record))
    }

    /** Must be called after each successful poll of the store, once its entries have been passed to [onStoreEntry]. */
    public fun onStorePolled() {
        storePolledOnce = true
        loaded = true
    }

    /** Must be called after the store was restored from an older copy, before [onStoreEntry] gets its entries. */
    public fun onStoreRegressed() {
        storeStatuses.clear()
    }

    /** Must be called when a bundle is adopted. Keys missing from the new bundle are rejected from then on. */
    public fun onBundleAdopted(bundle: Bundle) {
        directory.updateAndGet { it.withBundle(bundle) }
        terminateRejectedStreams()
    }

    /**
     * Must be called when a heartbeat of peer [name] reports its weighted record [count].
     *
     * If the peer reports a lower count, this instance sends its records with a probability that makes about
     * [RECORD_SENDERS] instances respond. Only counts of [ready] peers decide whether the initial load of this
     * instance is complete.
     */
    public fun onPeerHeartbeat(
        name: InstanceName,
        count: Int,
        ready: Boolean,
    ) {
        if (ready) readyPeerCounts[name] = count else readyPeerCounts.remove(name)
        val peers = network.connectedPeers().size
        if (count < weightedRecordCount && random.nextInt(peers.coerceAtLeast(1)) < RECORD_SENDERS) sendAllRecords(name)
        if (count > weightedRecordCount && !loaded) requestState(name)
        completeLoadFromPeers()
    }

    /**
     * Withdraws a key, sends the withdrawal to all connected peers and to the store, and waits up to [waitMillis] for
     * confirmations.
     *
     * If the store does not answer in time, this instance keeps the withdrawal, resends it to peers and writes it to
     * the store later.
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
        val stored = withTimeoutOrNull(waitMillis) { writeRecord(record) } ?: false
        while (clock.nowMillis() < deadline) {
            peers = network.connectedPeers().map { it.name }
            if (confirmed.containsAll(peers)) break
            delay(CONFIRM_POLL_MILLIS)
        }
        return WithdrawalResult(
            confirmed = (confirmed + network.self.name).sortedBy { it.value },
            unconfirmed = (peers - confirmed).sortedBy { it.value },
            inStore = stored,
        )
    }

    private fun requestState(name: InstanceName) {
        val now = clock.nowMillis()
        val last = lastRequestMillis.get()
        if (now - last >= REQUEST_PERIOD_MILLIS && lastRequestMillis.compareAndSet(last, now)) {
            network.send(name, StateRequest)
        }
    }

    private fun onKeyChanges(
        from: PeerAddress,
        records: List<KeyRecord>,
    ) {
        merge(records)
        val withdrawn = records.filter { it.status == KeyStatus.WITHDRAWN }.map { it.digest }
        for (digest in withdrawn) confirmations[digest]?.add(from.name)
        if (withdrawn.isNotEmpty()) network.send(from.name, KeyConfirmation(withdrawn))
        completeLoadFromPeers()
    }

    private fun completeLoadFromPeers() {
        if (loaded) return
        val live = network.connectedPeers().map { it.name }.toSet()
        val counts = readyPeerCounts.filterKeys { it in live }.values
        if (counts.isNotEmpty() && counts.all { it <= weightedRecordCount }) {
            loaded = true
            logger.info { "keys: initial load from peers complete, weighted record count $weightedRecordCount" }
        }
    }

    private fun merge(records: List<KeyRecord>) {
        val before = directory.get()
        val after = directory.updateAndGet { it.mergedWith(records) }
        if (after === before) return
        recordGauge.set(after.weightedRecordCount.toDouble())
        terminateRejectedStreams()
    }

    private fun terminateRejectedStreams() {
        val now = directory.get()
        for (digest in subscriptions.digests()) if (now.customerOf(digest) == null) subscriptions.fire(digest)
    }

    private fun sendAllRecords(name: InstanceName) {
        directory
            .get()
            .records()
            .chunked(RECORDS_PER_MESSAGE)
            .forEach { network.send(name, KeyChanges(it)) }
    }

    private fun recordsMissingInStore(): List<KeyRecord> =
        directory.get().records().filter {
            storeStatuses[it.digest] != it.status && storeStatuses[it.digest] != KeyStatus.WITHDRAWN
        }

    private fun resendWithdrawals() {
        val withdrawn = recordsMissingInStore().filter { it.status == KeyStatus.WITHDRAWN }.take(RECORDS_PER_MESSAGE)
        for (peer in network.connectedPeers()) {
            val recordsToSend = withdrawn.filter { peer.name !in confirmationsOf(it.digest) }
            if (recordsToSend.isNotEmpty()) network.send(peer.name, KeyChanges(recordsToSend))
        }
    }

    private fun confirmationsOf(digest: KeyDigest): MutableSet<InstanceName> =
        confirmations.computeIfAbsent(digest) { ConcurrentHashMap.newKeySet() }

    private suspend fun writeBack() {
        if (!storePolledOnce) return
        for (record in recordsMissingInStore().shuffled().take(WRITES_PER_PERIOD)) if (!writeRecord(record)) return
    }

    /**
     * Writes [record] to the store unless the store already holds it or a withdrawal of the same key. Returns whether
     * the store holds one of them.
     */
    private suspend fun writeRecord(record: KeyRecord): Boolean {
        repeat(WRITE_ATTEMPTS) {
            // After a conflict or a lost response, the next attempt reads the record again.
            val read = store.get(storeKey(record.digest)) as? StoreResult.Ok ?: return false
            val held = read.value?.let { KeyRecordCodec.decode(it.value) }
            val isUpToDate = held != null && (held.status == record.status || held.status == KeyStatus.WITHDRAWN)
            if (isUpToDate || replaceEntry(read.value, record)) {
                storeStatuses[record.digest] = held?.takeIf { isUpToDate }?.status ?: record.status
                return true
            }
        }
        return false
    }

    private suspend fun replaceEntry(
        entry: StoreEntry?,
        record: KeyRecord,
    ): Boolean {
        val value = KeyRecordCodec.encode(record)
        return store.compareAndSet(storeKey(record.digest), entry?.modRevision ?: 0, value) == StoreResult.Ok(true)
    }

    public companion object {
        /** Default time that [withdraw] waits for confirmations of peers. */
        public const val CONFIRM_WAIT_MILLIS: Long = 2_000

        /** The customer recorded for the withdrawal of a key unknown to this instance. */
        public val UNKNOWN_CUSTOMER: CustomerId = CustomerId("unknown")

        private const val RETRY_AFTER_MILLIS: Long = 1_000
        private const val FRESHNESS_CHECK_MILLIS: Long = 50
        private const val WRITE_BACK_PERIOD_MILLIS: Long = 1_000
        private const val CONFIRM_POLL_MILLIS: Long = 20
        private const val RECORDS_PER_MESSAGE: Int = 200
        private const val WRITES_PER_PERIOD: Int = 20
        private const val WRITE_ATTEMPTS: Int = 3
        private const val REQUEST_PERIOD_MILLIS: Long = 300

        /** Average number of instances that send records to a peer that lacks some. All would send the same records. */
        private const val RECORD_SENDERS: Int = 3
        private const val DIGEST_LOG_CHARS: Int = 12

        private fun storeKey(digest: KeyDigest): String = KeyRecordCodec.STORE_PREFIX + digest.value
    }
}
