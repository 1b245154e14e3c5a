package lacewingweir.standin.platform

import kotlinx.coroutines.channels.Channel
import lacewingweir.protocol.etcd.EtcdBytes
import lacewingweir.protocol.etcd.EtcdCompare
import lacewingweir.protocol.etcd.EtcdCompareResult
import lacewingweir.protocol.etcd.EtcdCompareTarget
import lacewingweir.protocol.etcd.EtcdEvent
import lacewingweir.protocol.etcd.EtcdEventType
import lacewingweir.protocol.etcd.EtcdHeader
import lacewingweir.protocol.etcd.EtcdKeyValue
import lacewingweir.protocol.etcd.EtcdPutRequest
import lacewingweir.protocol.etcd.EtcdPutResponse
import lacewingweir.protocol.etcd.EtcdRangeRequest
import lacewingweir.protocol.etcd.EtcdRangeResponse
import lacewingweir.protocol.etcd.EtcdRequestOp
import lacewingweir.protocol.etcd.EtcdResponseOp
import lacewingweir.protocol.etcd.EtcdTxnRequest
import lacewingweir.protocol.etcd.EtcdTxnResponse
import lacewingweir.protocol.etcd.EtcdWatchCreate
import lacewingweir.state.time.MonotonicClock
import java.util.TreeMap

/** An in-memory subset of etcd with revisions, leases and watches. Every call is atomic. */
internal class InMemoryEtcd(
    private val clock: MonotonicClock,
    private val maxValueBytes: Int,
) {
    /** Thrown for a request that etcd rejects with [status]. */
    class RequestException(
        val status: Int,
        override val message: String,
    ) : IllegalArgumentException(message)

    private class Lease(
        val ttlSeconds: Long,
        var expiresAtMillis: Long,
        val keys: MutableSet<String> = mutableSetOf(),
    )

    /** An open watch with the events that have not been sent yet. */
    class Watch(
        private val from: String,
        private val until: String?,
    ) {
        val events: Channel<EtcdEvent> = Channel(Channel.UNLIMITED)

        fun contains(key: String): Boolean = inRange(key, from, until)
    }

    // Keys are decoded as ISO 8859-1, so that the order of the strings is etcd's byte order.
    private val entries = TreeMap<String, EtcdKeyValue>()
    private val leases = HashMap<Long, Lease>()
    private val watches = mutableSetOf<Watch>()
    private val history = ArrayDeque<EtcdEvent>()
    private var nextLeaseId = FIRST_LEASE_ID
    private var currentRevision = 1L
    private var expiredLeaseCount = 0L

    val revision: Long
        @Synchronized get() = currentRevision

    val size: Int
        @Synchronized get() = entries.size

    val openWatches: Int
        @Synchronized get() = watches.size

    val expiredLeases: Long
        @Synchronized get() = expiredLeaseCount

    val header: EtcdHeader
        get() = EtcdHeader(revision)

    @Synchronized
    fun range(request: EtcdRangeRequest): EtcdRangeResponse {
        expireLeases()
        val from = request.key.toKey()
        val until = request.rangeEnd?.toKey()
        val matching =
            entries
                .tailMap(from, true)
                .asSequence()
                .takeWhile { inRange(it.key, from, until) }
                .map { it.value }
                .filter { it.modRevision >= request.minModRevision }
                .toList()
        val returned = if (request.limit > 0) matching.take(request.limit.toInt()) else matching
        return EtcdRangeResponse(
            EtcdHeader(currentRevision),
            returned,
            returned.size < matching.size,
            matching.size.toLong(),
        )
    }

    @Synchronized
    fun put(request: EtcdPutRequest): EtcdPutResponse {
        expireLeases()
        checkPut(request)
        currentRevision++
        apply(request)
        return EtcdPutResponse(EtcdHeader(currentRevision))
    }

    @Synchronized
    fun txn(request: EtcdTxnRequest): EtcdTxnResponse {
        expireLeases()
        val succeeded = request.compare.all(::isSatisfied)
        val operations = if (succeeded) request.success else request.failure
        operations.forEach { operation -> operation.put?.let(::checkPut) }
        if (operations.any { it.put != null }) currentRevision++
        val responses = operations.map(::execute)
        return EtcdTxnResponse(EtcdHeader(currentRevision), succeeded, responses)
    }

    private fun execute(operation: EtcdRequestOp): EtcdResponseOp {
        operation.put?.let {
            apply(it)
            return EtcdResponseOp(put = EtcdPutResponse(EtcdHeader(currentRevision)))
        }
        return EtcdResponseOp(range = operation.range?.let(::range))
    }

    private fun isSatisfied(condition: EtcdCompare): Boolean {
        val entry = entries[condition.key.toKey()]
        val (actual, operand) =
            when (condition.target) {
                EtcdCompareTarget.VERSION -> entry?.version to condition.version
                EtcdCompareTarget.CREATE -> entry?.createRevision to condition.createRevision
                EtcdCompareTarget.MOD -> entry?.modRevision to condition.modRevision
                EtcdCompareTarget.VALUE -> throw RequestException(501, "comparing values is not supported")
            }
        val comparison = (actual ?: 0).compareTo(operand ?: 0)
        return when (condition.result) {
            EtcdCompareResult.EQUAL -> comparison == 0
            EtcdCompareResult.NOT_EQUAL -> comparison != 0
            EtcdCompareResult.GREATER -> comparison > 0
            EtcdCompareResult.LESS -> comparison < 0
        }
    }

    private fun checkPut(request: EtcdPutRequest) {
        val error =
            when {
                request.key.base64.isEmpty() -> RequestException(400, "etcdserver: key is not provided")
                request.value.toByteArray().size > maxValueBytes ->
                    RequestException(
                        400,
                        "etcdserver: request is too large",
                    )
                request.lease != 0L && request.lease !in leases ->
                    RequestException(404, "etcdserver: requested lease not found")
                else -> return
            }
        throw error
    }

    private fun apply(request: EtcdPutRequest) {
        val key = request.key.toKey()
        val previous = entries[key]
        previous?.let { leases[it.lease]?.keys?.remove(key) }
        val entry =
            EtcdKeyValue(
                request.key,
                previous?.createRevision ?: currentRevision,
                currentRevision,
                (previous?.version ?: 0) + 1,
                request.value,
                request.lease,
            )
        entries[key] = entry
        leases[request.lease]?.keys?.add(key)
        publish(key, EtcdEvent(EtcdEventType.PUT, entry))
    }

    private fun publish(
        key: String,
        event: EtcdEvent,
    ) {
        history.addLast(event)
        if (history.size > MAX_HISTORY) history.removeFirst()
        watches.filter { it.contains(key) }.forEach { it.events.trySend(event) }
    }

    @Synchronized
    fun grantLease(
        ttlSeconds: Long,
        requestedId: Long,
    ): Long {
        if (ttlSeconds <= 0) throw RequestException(400, "etcdserver: TTL must be positive")
        if (requestedId in leases) throw RequestException(412, "etcdserver: lease already exists")
        val id = if (requestedId != 0L) requestedId else nextLeaseId++
        leases[id] = Lease(ttlSeconds, clock.nowMillis() + ttlSeconds * MILLIS_PER_SECOND)
        return id
    }

    /** Renews a lease and returns its TTL in seconds, or zero if it has expired or was revoked. */
    @Synchronized
    fun keepAlive(id: Long): Long {
        expireLeases()
        val lease = leases[id] ?: return 0
        lease.expiresAtMillis = clock.nowMillis() + lease.ttlSeconds * MILLIS_PER_SECOND
        return lease.ttlSeconds
    }

    @Synchronized
    fun revokeLease(id: Long) {
        val lease = leases.remove(id) ?: throw RequestException(404, "etcdserver: requested lease not found")
        deleteKeys(lease)
    }

    /** Removes leases that were not renewed in time and deletes their keys. */
    @Synchronized
    fun expireLeases() {
        val now = clock.nowMillis()
        val overdue = leases.filterValues { it.expiresAtMillis <= now }
        for ((id, lease) in overdue) {
            leases.remove(id)
            expiredLeaseCount++
            deleteKeys(lease)
        }
    }

    private fun deleteKeys(lease: Lease) {
        if (lease.keys.isEmpty()) return
        currentRevision++
        for (key in lease.keys) {
            val entry = entries.remove(key) ?: continue
            val tombstone = EtcdKeyValue(entry.key, modRevision = currentRevision)
            publish(key, EtcdEvent(EtcdEventType.DELETE, tombstone))
        }
    }

    /** Opens a watch. Its first events are those since the start revision that are still in the history. */
    @Synchronized
    fun watch(request: EtcdWatchCreate): Watch {
        val watch = Watch(request.key.toKey(), request.rangeEnd?.toKey())
        if (request.startRevision > 0) {
            history
                .filter { it.kv.modRevision >= request.startRevision && watch.contains(it.kv.key.toKey()) }
                .forEach { watch.events.trySend(it) }
        }
        watches.add(watch)
        return watch
    }

    @Synchronized
    fun removeWatch(watch: Watch) {
        watches.remove(watch)
    }

    private companion object {
        const val FIRST_LEASE_ID: Long = 7_001
        const val MAX_HISTORY: Int = 10_000
        const val MILLIS_PER_SECOND: Long = 1_000
        const val TO_LAST_KEY: String = "\u0000"

        fun EtcdBytes.toKey(): String = toByteArray().toString(Charsets.ISO_8859_1)

        fun inRange(
            key: String,
            from: String,
            until: String?,
        ): Boolean =
            when (until) {
                null, "" -> key == from
                TO_LAST_KEY -> key >= from
                else -> key >= from && key < until
            }
    }
}
