/**
 * Keeps in the store at which software version streams began, since what only instances remember is lost when all of
 * them end at once.
 *
 * The streams of a fraction of a second are written together. The keys are used in turn, and each is overwritten once
 * nobody takes up its streams any more. Their lease ends some time after the last write.
 */
package lacewingweir.coordination.stream

import io.github.oshai.kotlinlogging.KotlinLogging
import lacewingweir.coordination.store.ClusterStore
import lacewingweir.coordination.store.CommitResult
import lacewingweir.coordination.store.StoreTransaction
import lacewingweir.coordination.store.StoreWrite
import lacewingweir.coordination.store.valueOrNull
import lacewingweir.coordination.time.TimerService
import lacewingweir.state.id.RequestId
import lacewingweir.state.id.StreamTag
import lacewingweir.state.stream.StreamOrigin
import lacewingweir.state.time.MonotonicClock

private val logger = KotlinLogging.logger {}

/**
 * @property keyPrefix the start of the keys, which no other instance uses
 * @property encode returns the value of an item
 */
internal class BegunStreamsWriter(
    private val store: ClusterStore,
    private val timers: TimerService,
    private val clock: MonotonicClock,
    private val keyPrefix: String,
    private val encode: (Map<StreamOrigin, List<StreamTag>>) -> ByteArray,
    unixMillis: Long = System.currentTimeMillis(),
) {
    private val pending = LinkedHashMap<StreamTag, StreamOrigin>()
    private var leaseId: Long? = null
    private var renewedAtMillis = 0L

    /** An instance that starts again goes on behind the keys of its last run, which wrote once an interval at most. */
    private var writes = unixMillis / WRITE_INTERVAL_MILLIS

    fun start() {
        timers.every("begun streams", WRITE_INTERVAL_MILLIS, jitter = 0.0) { write() }
    }

    /** Adds streams to the next write. */
    @Synchronized
    fun add(streams: Map<RequestId, StreamOrigin>) {
        for ((call, origin) in streams) pending[StreamTag.of(call)] = origin
        val oldest = pending.keys.iterator()
        while (pending.size > MAX_PENDING) {
            oldest.next()
            oldest.remove()
        }
    }

    private suspend fun write() {
        val batch = synchronized(this) { pending.toMap() }
        if (batch.isEmpty()) return
        val lease = currentLease() ?: return
        val streams = batch.entries.groupBy({ it.value }, { it.key })
        val write = StoreWrite("$keyPrefix${writes % SLOTS}", encode(streams), lease)
        val result = store.commit(StoreTransaction(writes = listOf(write)))
        when (result.valueOrNull()) {
            is CommitResult.Committed -> {
                writes++
                synchronized(this) { pending.keys -= batch.keys }
            }
            CommitResult.LeaseEnded -> leaseId = null
            // The streams are part of the next write.
            else -> logger.warn { "streams: not written count=${batch.size} result=$result" }
        }
    }

    private suspend fun currentLease(): Long? {
        val known = leaseId
        val now = clock.nowMillis()
        if (known != null && now - renewedAtMillis < RENEW_MILLIS) return known
        val isRenewed = known != null && store.renewLease(known).valueOrNull() == true
        val current = if (isRenewed) known else store.grantLease(TTL_MILLIS).valueOrNull()
        if (current == null) logger.warn { "streams: no lease for begun streams" }
        leaseId = current
        renewedAtMillis = now
        return current
    }

    private companion object {
        /** Streams that began less than this before all instances end are lost. */
        const val WRITE_INTERVAL_MILLIS: Long = 200

        /** Writes within the time in which callers take up a stream, and some more. */
        const val SLOTS: Long = 200

        /** The time in which callers take up a stream, after the last write before a renewal was due. */
        const val TTL_MILLIS: Long = 60_000
        const val RENEW_MILLIS: Long = 20_000

        /** Keeps a value below a third of the largest one that the store takes. */
        const val MAX_PENDING: Int = 20_000
    }
}
