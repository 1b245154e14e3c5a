/** The platform's key-value store with transactions, leases and watches. */
package lacewingweir.coordination.store

/** A key with its value and the store revision of its last change. */
internal class StoreItem(
    val key: String,
    val value: ByteArray,
    val revision: Long,
)

/** A change reported by a watch. [value] is null if the key was removed. */
internal class StoreChange(
    val key: String,
    val revision: Long,
    val value: ByteArray?,
)

/** All items under a prefix. [items] contains every change up to [revision] and may lack later ones. */
internal class StoreRange(
    val items: List<StoreItem>,
    val revision: Long,
)

/** The result of [ClusterStore.watch]. */
internal sealed interface WatchResult {
    /** All changes up to [revision]. Empty if there was no change within the wait time. */
    class Changes(
        val changes: List<StoreChange>,
        val revision: Long,
    ) : WatchResult

    /**
     * The store no longer has the history since the requested revision, or was restored from an older copy since then.
     * The caller must read the whole range again.
     */
    data object HistoryGone : WatchResult

    /**
     * The changes arrived but can't be used, for example because they are too large together. The same call would fail
     * again, so the caller must read the whole range again.
     */
    data class Unreadable(
        val reason: String,
    ) : WatchResult

    /** The call failed for [reason]. */
    data class Failed(
        val reason: String,
    ) : WatchResult
}

/** A write of a transaction. If [leaseId] is not zero, the key is removed when that lease ends. */
internal class StoreWrite(
    val key: String,
    val value: ByteArray,
    val leaseId: Long = 0,
)

/**
 * Writes and removals that are applied atomically if each key of [expected] has the given revision. Revision zero means
 * that the key must not exist.
 */
internal class StoreTransaction(
    val expected: Map<String, Long> = emptyMap(),
    val writes: List<StoreWrite> = emptyList(),
    val removals: List<String> = emptyList(),
)

/** The result of a transaction that the store processed. */
internal sealed interface CommitResult {
    /** The transaction was applied at [revision]. */
    data class Committed(
        val revision: Long,
    ) : CommitResult

    /** A key did not have its expected revision, and nothing was applied. */
    data object Conflict : CommitResult

    /** The lease of a write has expired or was revoked, and nothing was applied. */
    data object LeaseEnded : CommitResult
}

/**
 * A client of the platform's store. Every call has a timeout and returns failures as values instead of throwing.
 *
 * Revisions keep rising when the store is restored from an older copy; [eraOf] tells how often that has happened.
 */
internal interface ClusterStore {
    /** Reads all items under [prefix]. */
    suspend fun range(prefix: String): StoreResult<StoreRange>

    /** Waits up to [waitMillis] for changes under [prefix] later than [revision]. */
    suspend fun watch(
        prefix: String,
        revision: Long,
        waitMillis: Long,
    ): WatchResult

    /** Applies [transaction] if its conditions hold. */
    suspend fun commit(transaction: StoreTransaction): StoreResult<CommitResult>

    /** Grants a lease of [ttlMillis] and returns its id. */
    suspend fun grantLease(ttlMillis: Long): StoreResult<Long>

    /** Renews a lease. The value is false if the lease has already ended. */
    suspend fun renewLease(leaseId: Long): StoreResult<Boolean>

    /** Ends a lease, which removes the keys attached to it. */
    suspend fun endLease(leaseId: Long): StoreResult<Unit>
}
