package lacewingweir.testing

import lacewingweir.coordination.store.ClusterStore
import lacewingweir.coordination.store.CommitResult
import lacewingweir.coordination.store.StoreItem
import lacewingweir.coordination.store.StoreResult
import lacewingweir.coordination.store.StoreTransaction
import lacewingweir.coordination.store.revisionInEra

/** A store in memory with transactions and leases. While it is [away], all calls fail. */
internal class MemoryClusterStore(
    private val nowMillis: () -> Long,
) : ClusterStore by UnusedStore {
    private class Lease(
        val ttlMillis: Long,
        var renewedMillis: Long,
    )

    private val values = LinkedHashMap<String, StoreItem>()
    private val leases = HashMap<Long, Lease>()
    private val leaseOfKey = HashMap<String, Long>()
    private var revision = 0L
    private var era = 1L
    var away = false

    /** Whether commits are applied although their responses are lost. */
    var losesResponses = false

    /** Transactions that were applied. */
    var commits = 0
        private set

    fun put(
        key: String,
        value: ByteArray,
    ) {
        revision++
        values[key] = StoreItem(key, value, revision)
    }

    fun remove(key: String) {
        revision++
        values.remove(key)
        leaseOfKey.remove(key)
    }

    /** Returns all items, with the era in their revisions. */
    fun items(): List<StoreItem> {
        expire()
        return values.values.map { StoreItem(it.key, it.value, revisionInEra(era, it.revision)) }
    }

    fun text(key: String): String? = values[key]?.value?.decodeToString()

    /** Returns the items that belong to no lease. Leases end when the store is restored. */
    fun copy(): Map<String, StoreItem> = values - leaseOfKey.keys

    /** Brings back an older [copy], whose revisions are given out again. */
    fun restore(copy: Map<String, StoreItem>) {
        values.clear()
        values.putAll(copy)
        leases.clear()
        leaseOfKey.clear()
        revision = copy.values.maxOfOrNull { it.revision } ?: 0
        era++
    }

    override suspend fun commit(transaction: StoreTransaction): StoreResult<CommitResult> {
        if (away) return StoreResult.Unavailable("away")
        expire()
        val conflicts =
            transaction.expected.any { (key, expected) ->
                revisionInEra(era, values[key]?.revision ?: 0) != expected
            }
        if (conflicts) return StoreResult.Ok(CommitResult.Conflict)
        revision++
        commits++
        for (write in transaction.writes) {
            values[write.key] = StoreItem(write.key, write.value, revision)
            if (write.leaseId != 0L) leaseOfKey[write.key] = write.leaseId
        }
        if (losesResponses) return StoreResult.Unknown("lost")
        return StoreResult.Ok(CommitResult.Committed(revisionInEra(era, revision)))
    }

    override suspend fun grantLease(ttlMillis: Long): StoreResult<Long> {
        if (away) return StoreResult.Unavailable("away")
        val id = leases.size + era * 1_000_000 + 1
        leases[id] = Lease(ttlMillis, nowMillis())
        return StoreResult.Ok(id)
    }

    override suspend fun renewLease(leaseId: Long): StoreResult<Boolean> {
        if (away) return StoreResult.Unavailable("away")
        expire()
        val lease = leases[leaseId] ?: return StoreResult.Ok(false)
        lease.renewedMillis = nowMillis()
        return StoreResult.Ok(true)
    }

    override suspend fun endLease(leaseId: Long): StoreResult<Unit> {
        if (away) return StoreResult.Unavailable("away")
        leases[leaseId]?.renewedMillis = Long.MIN_VALUE / 2
        expire()
        return StoreResult.Ok(Unit)
    }

    private fun expire() {
        val ended = leases.filter { nowMillis() - it.value.renewedMillis > it.value.ttlMillis }.keys
        for ((key, lease) in leaseOfKey.toMap()) if (lease in ended || lease !in leases) remove(key)
        // Ids are counted, so ended leases stay.
    }
}
