/**
 * Keeps the record of the versions that served in the store, since an instance that starts after all have ended learns
 * from nothing else which versions streams may have begun at.
 *
 * The record is written only when versions have come or left, or when the store has lost it. All instances notice that
 * at the same time, so they take turns: each waits for those whose names come before its own.
 */
package lacewingweir.coordination.stream

import io.github.oshai.kotlinlogging.KotlinLogging
import lacewingweir.coordination.fleet.FleetSnapshot
import lacewingweir.coordination.store.ClusterStore
import lacewingweir.coordination.store.StoreTransaction
import lacewingweir.coordination.store.StoreWrite
import lacewingweir.coordination.time.TimerService
import lacewingweir.state.stream.ServedVersion

private val logger = KotlinLogging.logger {}

/**
 * @property self the name of this instance
 * @property key the key of the record
 * @property encode returns the value of the record
 * @property missing returns what the record should have, or null if it needn't be written
 */
internal class ServedVersionsWriter(
    private val self: String,
    private val store: ClusterStore,
    private val fleet: () -> FleetSnapshot,
    private val timers: TimerService,
    private val key: String,
    private val encode: (Set<ServedVersion>) -> ByteArray,
    private val missing: () -> Set<ServedVersion>?,
) {
    private var checksWaited = 0

    fun start() {
        timers.every("served versions", CHECK_MILLIS) { check() }
    }

    private suspend fun check() {
        val versions = missing()
        // An instance that isn't listed itself can't tell who else is there.
        if (versions == null || self !in fleet().peers) {
            checksWaited = 0
            return
        }
        val turn = fleet().peers.keys.count { it < self }
        if (checksWaited++ < turn * CHECKS_PER_TURN) return
        checksWaited = 0
        write(versions)
    }

    private suspend fun write(versions: Set<ServedVersion>) {
        val stored = fleet().servedVersions
        val write = StoreWrite(key, encode(versions))
        val result = store.commit(StoreTransaction(mapOf(key to stored.revision), listOf(write)))
        logger.info {
            "streams: served versions written added=${versions - stored.versions} " +
                "removed=${stored.versions - versions} result=$result"
        }
    }

    private companion object {
        const val CHECK_MILLIS: Long = 500

        /** A second, in which a write reaches the watches of all instances. */
        const val CHECKS_PER_TURN: Int = 2
    }
}
