package lacewingweir.coordination.store

import kotlinx.coroutines.delay
import java.util.TreeMap

/** A store in memory with switches for outage, lost answers and restoring an older copy. */
internal class FakeConfigStore : ConfigStore {
    private val entries = TreeMap<String, StoreEntry>()
    private var revision = 0L

    @Volatile
    var down = false

    /** Time that a read of one key takes. */
    @Volatile
    var delayMillis = 0L

    /** The next writes take effect, but their answers are lost. */
    @Volatile
    var loseAnswers = 0

    /** Runs once before the next write, as another client that is faster. */
    @Volatile
    var beforeWrite: (() -> Unit)? = null

    /** Runs once after the next write took effect. */
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
            if (loseAnswers > 0) {
                loseAnswers--
                StoreResult.Unknown("answer lost")
            } else {
                StoreResult.Ok(matches)
            }
        }
    }

    override suspend fun grantLease(ttlSeconds: Long): StoreResult<Long> = StoreResult.Ok(1)
}
