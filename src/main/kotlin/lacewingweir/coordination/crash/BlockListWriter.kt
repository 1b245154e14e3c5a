/**
 * Writes the block list to the store.
 *
 * The instance that decides to block something writes it at once. The others add what is still missing there after
 * some time, because the writer failed, or because the store was restored from an older copy.
 */
package lacewingweir.coordination.crash

import io.github.oshai.kotlinlogging.KotlinLogging
import lacewingweir.coordination.fleet.FleetDirectory
import lacewingweir.coordination.store.ClusterStore
import lacewingweir.coordination.store.StoreTransaction
import lacewingweir.coordination.store.StoreWrite
import lacewingweir.coordination.time.TimerService
import lacewingweir.state.crash.CrashEvidence
import lacewingweir.state.id.SuspectId
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

/** [encode] returns the value of the item with the given [key]. [blocked] returns the ids that it should contain. */
internal class BlockListWriter(
    private val store: ClusterStore,
    private val directory: FleetDirectory,
    private val timers: TimerService,
    private val key: String,
    private val encode: (Set<SuspectId>) -> ByteArray,
    private val blocked: () -> Set<SuspectId>,
    private val random: Random = Random.Default,
) {
    private var missingChecks = 0
    private var checksToWait = nextWait()

    fun start() {
        timers.every("block list", CHECK_MILLIS) { check() }
    }

    private suspend fun check() {
        missingChecks = if (missing().isEmpty()) 0 else missingChecks + 1
        if (missingChecks <= checksToWait) return
        checksToWait = nextWait()
        missingChecks = 0
        // Instances that have forgotten different ids would otherwise write each other's again and again.
        if (directory.snapshot.blockList.ids.size < CrashEvidence.MAX_BLOCKED) write()
    }

    /** Writes all blocked ids if some are missing in the store. */
    suspend fun write() {
        val missing = missing()
        if (missing.isEmpty()) return
        val stored = directory.snapshot.blockList
        val ids = (stored.ids + missing).toList().takeLast(CrashEvidence.MAX_BLOCKED).toSet()
        val write = StoreWrite(key, encode(ids))
        val result = store.commit(StoreTransaction(mapOf(key to stored.revision), listOf(write)))
        logger.info { "quarantine: block list written added=$missing result=$result" }
    }

    private fun missing(): Set<SuspectId> = blocked() - directory.snapshot.blockList.ids

    /** A random wait, so that usually one instance writes before the others try. */
    private fun nextWait() = MIN_CHECKS_TO_WAIT + random.nextInt(CHECKS_SPREAD)

    private companion object {
        const val CHECK_MILLIS: Long = 500
        const val MIN_CHECKS_TO_WAIT: Int = 2
        const val CHECKS_SPREAD: Int = 8
    }
}
