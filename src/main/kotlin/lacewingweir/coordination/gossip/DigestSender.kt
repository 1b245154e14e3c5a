/** Sends this instance's digest to its peers, at once after a change that they wait for and else periodically. */
package lacewingweir.coordination.gossip

import lacewingweir.coordination.fleet.FleetDirectory
import lacewingweir.coordination.time.TimerService

internal class DigestSender(
    private val directory: FleetDirectory,
    private val network: DigestNetwork,
    private val timers: TimerService,
    private val unnumbered: () -> InstanceDigest,
) {
    private var number = 0L
    private var last: InstanceDigest? = null
    private var unchanged = 0

    fun start() {
        timers.every("digest", PeerDigests.DIGEST_PERIOD_MILLIS) { tick() }
    }

    /** Sends a digest now. */
    suspend fun sendNow() {
        val current = unnumbered()
        last = current
        unchanged = 0
        send(current)
    }

    private suspend fun tick() {
        val current = unnumbered()
        unchanged = if (current == last) unchanged + 1 else 0
        last = current
        // An idle instance still has to be heard within the time for which digests are believed.
        if (unchanged % IDLE_PERIODS == 0) send(current)
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
        /** Periods between digests that say nothing new: half of the time for which a digest is believed. */
        const val IDLE_PERIODS: Int = 2
    }
}
