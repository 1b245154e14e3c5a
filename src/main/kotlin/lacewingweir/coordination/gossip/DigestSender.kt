package lacewingweir.coordination.gossip

import lacewingweir.coordination.fleet.FleetDirectory
import lacewingweir.coordination.time.TimerService

/**
 * Sends the digest of this instance to its peers, periodically and on demand after an urgent change.
 *
 * [createDigest] returns the current digest without its number, which the sender assigns.
 */
internal class DigestSender(
    private val directory: FleetDirectory,
    private val network: DigestNetwork,
    private val timers: TimerService,
    private val createDigest: () -> InstanceDigest,
) {
    private var number = 0L
    private var lastDigest: InstanceDigest? = null
    private var unchangedPeriods = 0

    fun start() {
        timers.every("digest", PeerDigests.DIGEST_PERIOD_MILLIS) { tick() }
    }

    /** Sends the current digest immediately. */
    suspend fun sendNow() {
        val current = createDigest()
        lastDigest = current
        unchangedPeriods = 0
        send(current)
    }

    private suspend fun tick() {
        val current = createDigest()
        unchangedPeriods = if (current == lastDigest) unchangedPeriods + 1 else 0
        lastDigest = current
        // Also sent without changes, because peers consider an instance silent once its latest digest expires.
        if (unchangedPeriods % UNCHANGED_SEND_PERIODS == 0) send(current)
    }

    private suspend fun send(digest: InstanceDigest) {
        val targets =
            directory.snapshot.peers.values
                .filter { it.name != digest.instance }
                .map { it.host to it.port }
        if (targets.isEmpty()) return
        network.send(digest.copy(number = ++number), targets)
    }

    private companion object {
        /** Number of periods between unchanged digests: half of the validity of a digest. */
        const val UNCHANGED_SEND_PERIODS: Int = 2
    }
}
