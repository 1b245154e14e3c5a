/**
 * Writes to the store when target weights were set, for instances that start after all instances were lost at the same
 * time. The store itself doesn't tell the age of its items.
 *
 * The holder of the rollout lease writes each target once. The others write what is still missing after some time,
 * because the holder failed, or because the store was restored from an older copy.
 */
package lacewingweir.coordination.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import lacewingweir.coordination.store.ClusterStore
import lacewingweir.coordination.store.StoreTransaction
import lacewingweir.coordination.store.StoreWrite
import lacewingweir.coordination.time.TimerService
import lacewingweir.state.fleet.TargetMoment
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

/**
 * [observed] returns the targets whose moments this instance has observed, [encode] the value of the item with the
 * given [key], and [holdsLease] whether this instance holds the rollout lease.
 */
internal class TargetMomentsWriter(
    private val store: ClusterStore,
    private val timers: TimerService,
    private val key: String,
    private val encode: (List<TargetMoment>) -> ByteArray,
    private val stored: () -> StoredTargetMoments,
    private val observed: () -> List<TargetMoment>,
    private val holdsLease: () -> Boolean,
    private val random: Random = Random.Default,
) {
    private var missingChecks = 0
    private var checksToWait = nextWait()

    fun start() {
        timers.every("target moments", CHECK_MILLIS) { check() }
    }

    private suspend fun check() {
        val known = stored()
        val missing = observed().filter { target -> known.moments.none { it.isSameTarget(target) } }
        missingChecks = if (missing.isEmpty()) 0 else missingChecks + 1
        if (missing.isEmpty() || (!holdsLease() && missingChecks <= checksToWait)) return
        checksToWait = nextWait()
        missingChecks = 0
        write(known, missing)
    }

    private suspend fun write(
        known: StoredTargetMoments,
        missing: List<TargetMoment>,
    ) {
        val write = StoreWrite(key, encode((known.moments + missing).takeLast(MAX_MOMENTS)))
        val result = store.commit(StoreTransaction(mapOf(key to known.revision), listOf(write)))
        logger.info { "directory: moments of target weights written added=$missing result=$result" }
    }

    /** A random wait, so that usually one instance writes before the others try. */
    private fun nextWait() = MIN_CHECKS_TO_WAIT + random.nextInt(CHECKS_SPREAD)

    private companion object {
        const val CHECK_MILLIS: Long = 250
        const val MIN_CHECKS_TO_WAIT: Int = 4
        const val CHECKS_SPREAD: Int = 12

        /** Exceeds the number of targets set within the time for which an engine may remain outdated. */
        const val MAX_MOMENTS: Int = 64
    }
}
