package lacewingweir.coordination.store

import kotlinx.coroutines.delay
import java.util.TreeMap

/** An in-memory store that can simulate outages, slow reads, lost responses and a restore from an older copy. */
internal class FakeConfigStore : ConfigStore {
    private val entries = TreeMap<String, StoreEntry>()
    private var revision = 0L

    @Volatile
    var down = false

    /** Duration of a read of a single key. */
    @Volatile
    var delayMillis = 0L

    /** Number of subsequent writes that take effect but return an unknown result. */
    @Volatile
    var responsesToLose = 0

    /** Runs once before the next write, for example to simulate a concurrent write of another client. */
    @Volatile
    var beforeWrite: (() -> Unit)? = null

    /** Runs once after the next write was processed. */
    @Volatile
    var afterWrite: (() -> Unit)? = null

    @Synchronized
    fun put(
        key: String,
        value: ByteArray,
    ) {
        entries[key] = StoreEntry(key, value, ++revision)
    }

    @Synchronized
    fun value(key: String): ByteArray? = entries[key]?.value

    @Synchronized
    fun copy(): Pair<Map<String, StoreEntry>, Long> = entries.toMap() to revision

    @Synchronized
    fun restore(copy: Pair<Map<String, StoreEntry>, Long>) {
        entries.clear()
        entries.putAll(copy.first)
        revision = copy.second
    }

    override suspend fun get(key: String): StoreResult<StoreEntry?> {
        delay(delayMillis)
        return if (down) StoreResult.Unavailable("down") else synchronized(this) { StoreResult.Ok(entries[key]) }
    }

    override suspend fun list(
        prefix: String,
        sinceRevision: Long,
    ): StoreResult<StoreListing> {
        if (down) return StoreResult.Unavailable("down")
        return synchronized(this) {
            val found = entries.values.filter { it.key.startsWith(prefix) && it.modRevision > sinceRevision }
            StoreResult.Ok(StoreListing(found, revision))
        }
    }

    override suspend fun compareAndSet(
        key: String,
        expectedModRevision: Long,
        value: ByteArray,
        leaseId: Long?,
    ): StoreResult<Boolean> {
        if (down) return StoreResult.Unavailable("down")
        beforeWrite.also { beforeWrite = null }?.invoke()
        return synchronized(this) {
            val matches = (entries[key]?.modRevision ?: 0) == expectedModRevision
            if (matches) put(key, value)
            afterWrite.also { afterWrite = null }?.invoke()
            if (responsesToLose > 0) {
                responsesToLose--
                StoreResult.Unknown("answer lost")
            } else {
                StoreResult.Ok(matches)
            }
        }
    }

    override suspend fun grantLease(ttlSeconds: Long): StoreResult<Long> = StoreResult.Ok(1)
}
