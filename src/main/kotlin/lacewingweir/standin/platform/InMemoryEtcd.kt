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

/** Revisions, leases and watches of a small etcd in memory. Every call is atomic. */
internal class InMemoryEtcd(
    private val clock: MonotonicClock,
    private val maxValueBytes: Int,
) {
    /** A request that etcd refuses with [status]. */
    class Refused(
        val status: Int,
        override val message: String,
    ) : IllegalArgumentException(message)

    private class Lease(
        val ttlSeconds: Long,
        var deadlineMillis: Long,
        val keys: MutableSet<String> = mutableSetOf(),
    )

    /** An open watch and the events that it has not sent yet. */
    class Watch(
        private val from: String,
        private val until: String?,
    ) {
        val events: Channel<EtcdEvent> = Channel(Channel.UNLIMITED)

        fun covers(key: String): Boolean = inRange(key, from, until)
    }

    // Keys are held as ISO 8859-1 text, whose order is the byte order that etcd uses.
    private val entries = TreeMap<String, EtcdKeyValue>()
    private val leases = HashMap<Long, Lease>()
    private val watches = mutableSetOf<Watch>()
    private val history = ArrayDeque<EtcdEvent>()
    private var nextLease = FIRST_LEASE
    private var currentRevision = 1L
    private var expired = 0L

    val revision: Long
        @Synchronized get() = currentRevision

    val size: Int
        @Synchronized get() = entries.size

    val openWatches: Int
        @Synchronized get() = watches.size

    val expiredLeases: Long
        @Synchronized get() = expired

    val header: EtcdHeader
        get() = EtcdHeader(revision)

    @Synchronized
    fun range(request: EtcdRangeRequest): EtcdRangeResponse {
        expireLeases()
        val from = request.key.toKey()
        val until = request.rangeEnd?.toKey()
        val found =
            entries
                .tailMap(from, true)
                .asSequence()
                .takeWhile { inRange(it.key, from, until) }
                .map { it.value }
                .filter { it.modRevision >= request.minModRevision }
                .toList()
        val shown = if (request.limit > 0) found.take(request.limit.toInt()) else found
        return EtcdRangeResponse(EtcdHeader(currentRevision), shown, shown.size < found.size, found.size.toLong())
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
        val succeeded = request.compare.all(::holds)
        val operations = if (succeeded) request.success else request.failure
        operations.forEach { operation -> operation.put?.let(::checkPut) }
        if (operations.any { it.put != null }) currentRevision++
        val responses = operations.map(::run)
        return EtcdTxnResponse(EtcdHeader(currentRevision), succeeded, responses)
    }

    private fun run(operation: EtcdRequestOp): EtcdResponseOp {
        operation.put?.let {
            apply(it)
            return EtcdResponseOp(put = EtcdPutResponse(EtcdHeader(currentRevision)))
        }
        return EtcdResponseOp(range = operation.range?.let(::range))
    }

    private fun holds(compare: EtcdCompare): Boolean {
        val entry = entries[compare.key.toKey()]
        val (actual, operand) =
            when (compare.target) {
                EtcdCompareTarget.VERSION -> entry?.version to compare.version
                EtcdCompareTarget.CREATE -> entry?.createRevision to compare.createRevision
                EtcdCompareTarget.MOD -> entry?.modRevision to compare.modRevision
                EtcdCompareTarget.VALUE -> throw Refused(501, "comparing values is not supported")
            }
        val order = (actual ?: 0).compareTo(operand ?: 0)
        return when (compare.result) {
            EtcdCompareResult.EQUAL -> order == 0
            EtcdCompareResult.NOT_EQUAL -> order != 0
            EtcdCompareResult.GREATER -> order > 0
            EtcdCompareResult.LESS -> order < 0
        }
    }

    private fun checkPut(request: EtcdPutRequest) {
        val refusal =
            when {
                request.key.base64.isEmpty() -> Refused(400, "etcdserver: key is not provided")
                request.value.toByteArray().size > maxValueBytes -> Refused(400, "etcdserver: request is too large")
                request.lease != 0L && request.lease !in leases ->
                    Refused(404, "etcdserver: requested lease not found")
                else -> return
            }
        throw refusal
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
        watches.filter { it.covers(key) }.forEach { it.events.trySend(event) }
    }

    @Synchronized
    fun grantLease(
        ttlSeconds: Long,
        requestedId: Long,
    ): Long {
        if (ttlSeconds <= 0) throw Refused(400, "etcdserver: TTL must be positive")
        if (requestedId in leases) throw Refused(412, "etcdserver: lease already exists")
        val id = if (requestedId != 0L) requestedId else nextLease++
        leases[id] = Lease(ttlSeconds, clock.nowMillis() + ttlSeconds * MILLIS)
        return id
    }

    /** Renews a lease and returns its TTL in seconds, or zero if it has ended. */
    @Synchronized
    fun keepAlive(id: Long): Long {
        expireLeases()
        val lease = leases[id] ?: return 0
        lease.deadlineMillis = clock.nowMillis() + lease.ttlSeconds * MILLIS
        return lease.ttlSeconds
    }

    @Synchronized
    fun revokeLease(id: Long) {
        val lease = leases.remove(id) ?: throw Refused(404, "etcdserver: requested lease not found")
        deleteKeys(lease)
    }

    /** Ends leases that were not renewed in time and deletes their keys. */
    @Synchronized
    fun expireLeases() {
        val now = clock.nowMillis()
        val ended = leases.filterValues { it.deadlineMillis <= now }
        for ((id, lease) in ended) {
            leases.remove(id)
            expired++
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

    /** Opens a watch, beginning with the events since its start revision as far as they are still kept. */
    @Synchronized
    fun watch(request: EtcdWatchCreate): Watch {
        val watch = Watch(request.key.toKey(), request.rangeEnd?.toKey())
        if (request.startRevision > 0) {
            history
                .filter { it.kv.modRevision >= request.startRevision && watch.covers(it.kv.key.toKey()) }
                .forEach { watch.events.trySend(it) }
        }
        watches.add(watch)
        return watch
    }

    @Synchronized
    fun unwatch(watch: Watch) {
        watches.remove(watch)
    }

    private companion object {
        const val FIRST_LEASE: Long = 7_001
        const val MAX_HISTORY: Int = 10_000
        const val MILLIS: Long = 1_000
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
