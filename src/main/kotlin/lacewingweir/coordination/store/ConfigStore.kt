package lacewingweir.coordination.store

/**
 * A client of the platform's key-value service, reduced to the operations used here.
 *
 * Reads are linearizable. Every call has a timeout set by the implementation, and failures of the store are returned,
 * not thrown. Values are limited to one megabyte. The service handles several hundred writes and about two thousand
 * reads per second, so callers must not poll more often than every 500 ms.
 */
public interface ConfigStore {
    /** Reads [key]. The value is null if the key does not exist. */
    public suspend fun get(key: String): StoreResult<StoreEntry?>

    /** Lists the entries under [prefix] that changed after [sinceRevision]. Deleted keys are not reported. */
    public suspend fun list(
        prefix: String,
        sinceRevision: Long = 0,
    ): StoreResult<StoreListing>

    /**
     * Writes [value] if the revision of the last change of [key] equals [expectedModRevision]. Zero means that the key
     * must not exist. The result is false on a conflict. If [leaseId] is given, the key is deleted when the lease ends.
     */
    public suspend fun compareAndSet(
        key: String,
        expectedModRevision: Long,
        value: ByteArray,
        leaseId: Long? = null,
    ): StoreResult<Boolean>

    /** Grants a lease of [ttlSeconds] and returns its id. */
    public suspend fun grantLease(ttlSeconds: Long): StoreResult<Long>
}
