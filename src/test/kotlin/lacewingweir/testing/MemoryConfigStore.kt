package lacewingweir.testing

import lacewingweir.coordination.store.ConfigStore
import lacewingweir.coordination.store.StoreEntry
import lacewingweir.coordination.store.StoreListing
import lacewingweir.coordination.store.StoreResult
import java.util.concurrent.ConcurrentSkipListMap

/** An in-memory [ConfigStore] that can inject faults into subsequent calls. */
internal class MemoryConfigStore : ConfigStore {
    /** A fault of a write. With [LOSE_ANSWER] the write is applied, with the others it is not. */
    enum class Fault { LOSE_ANSWER, LOSE_REQUEST, UNAVAILABLE }

    private val entries = ConcurrentSkipListMap<String, StoreEntry>()
    private var revision = 1L

    /** The faults of the next writes, in order. */
    val writeFaults: ArrayDeque<Fault> = ArrayDeque()

    /** The number of subsequent reads that fail. */
    var failingReads: Int = 0

    var leasesGranted: Int = 0
        private set

    override suspend fun get(key: String): StoreResult<StoreEntry?> =
        synchronized(this) {
            if (failingReads-- > 0) return StoreResult.Unavailable("read fault")
            failingReads = 0
            StoreResult.Ok(entries[key])
        }

    override suspend fun list(
        prefix: String,
        sinceRevision: Long,
    ): StoreResult<StoreListing> =
        synchronized(this) {
            val found = entries.values.filter { it.key.startsWith(prefix) && it.modRevision > sinceRevision }
            StoreResult.Ok(StoreListing(found, revision))
        }

    override suspend fun compareAndSet(
        key: String,
        expectedModRevision: Long,
        value: ByteArray,
        leaseId: Long?,
    ): StoreResult<Boolean> =
        synchronized(this) {
            val fault = writeFaults.removeFirstOrNull()
            if (fault == Fault.UNAVAILABLE) return StoreResult.Unavailable("write fault")
            if (fault == Fault.LOSE_REQUEST) return StoreResult.Unknown("request lost")
            val applies = (entries[key]?.modRevision ?: 0) == expectedModRevision
            if (applies) entries[key] = StoreEntry(key, value, ++revision)
            if (fault == Fault.LOSE_ANSWER) StoreResult.Unknown("answer lost") else StoreResult.Ok(applies)
        }

    override suspend fun grantLease(ttlSeconds: Long): StoreResult<Long> =
        synchronized(this) { StoreResult.Ok((++leasesGranted).toLong()) }
}
