package lacewingweir.coordination.store

/**
 * The platform's key-value service as this project uses it.
 *
 * Reads are linearizable. Every call has a timeout of the implementation, and no call throws for a failure of the
 * store. Values are at most one megabyte. The service takes several hundred writes and about two thousand reads a
 * second, so callers poll no faster than once in 500 ms.
 */
public interface ConfigStore {
    /** Reads [key]; the value is null if it does not exist. */
    public suspend fun get(key: String): StoreResult<StoreEntry?>

    /** Lists entries under [prefix] whose last change is after [sinceRevision]. Deleted keys don't show. */
    public suspend fun list(
        prefix: String,
        sinceRevision: Long = 0,
    ): StoreResult<StoreListing>

    /**
     * Writes [value] if the last change of [key] has [expectedModRevision]; zero means that the key must not exist.
     * The result is false on a conflict. With [leaseId] the key is deleted when that lease ends.
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
