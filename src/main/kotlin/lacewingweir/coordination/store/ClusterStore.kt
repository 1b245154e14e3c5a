/** The platform's store with its transactions, leases and watches. */
package lacewingweir.coordination.store

/** A key with its value and the revision of its last change. */
internal class StoreItem(
    val key: String,
    val value: ByteArray,
    val revision: Long,
)

/** A change that a watch reports. [value] is null where the key was removed. */
internal class StoreChange(
    val key: String,
    val revision: Long,
    val value: ByteArray?,
)

/** All items under a prefix. Changes after [revision] may be missing from [items]. */
internal class StoreRange(
    val items: List<StoreItem>,
    val revision: Long,
)

/** Outcome of waiting for changes. */
internal sealed interface WatchResult {
    /** Changes up to [revision]; none if the wait ended without any. */
    class Changes(
        val changes: List<StoreChange>,
        val revision: Long,
    ) : WatchResult

    /** The store no longer has this part of its history: list again. */
    data object HistoryGone : WatchResult

    data class Failed(
        val reason: String,
    ) : WatchResult
}

/** A write that takes effect with all others of its transaction or not at all. */
internal class StoreWrite(
    val key: String,
    val value: ByteArray,
    val leaseId: Long = 0,
)

/** Writes and removals under the condition that the [expected] keys have these revisions; zero means absent. */
internal class StoreTransaction(
    val expected: Map<String, Long> = emptyMap(),
    val writes: List<StoreWrite> = emptyList(),
    val removals: List<String> = emptyList(),
)

/** Outcome of a transaction that the store answered. */
internal sealed interface CommitResult {
    data class Committed(
        val revision: Long,
    ) : CommitResult

    /** A condition did not hold. */
    data object Conflict : CommitResult

    /** The lease of a write has ended. */
    data object LeaseEnded : CommitResult
}

/** Every call has a timeout of its own and returns failures as values. */
internal interface ClusterStore {
    suspend fun range(prefix: String): StoreResult<StoreRange>

    /** Waits up to [waitMillis] for changes under [prefix] after [revision]. */
    suspend fun watch(
        prefix: String,
        revision: Long,
        waitMillis: Long,
    ): WatchResult

    suspend fun commit(transaction: StoreTransaction): StoreResult<CommitResult>

    /** Grants a lease and returns its id. */
    suspend fun grantLease(ttlMillis: Long): StoreResult<Long>

    /** Renews a lease; false if it has ended. */
    suspend fun renewLease(leaseId: Long): StoreResult<Boolean>

    suspend fun endLease(leaseId: Long): StoreResult<Unit>
}
