/** Sends this instance's digest to its peers, at once after a change that they wait for and else periodically. */
package lacewingweir.coordination.gossip

import lacewingweir.coordination.fleet.FleetDirectory
import lacewingweir.coordination.time.TimerService

internal class DigestLoop(
    private val self: String,
    private val run: Long,
    private val directory: FleetDirectory,
    private val network: DigestNetwork,
    private val timers: TimerService,
    private val content: () -> DigestContent,
) {
    /** The parts of a digest that change. */
    internal data class DigestContent(
        val admitted: Map<String, Long>,
        val loads: List<EndpointLoad>,
        val weights: List<EngineWeights>,
        val reads: List<PartRead>,
        val windows: Map<String, Double>,
        val settled: Boolean,
    )

    private fun DigestContent.digest(
        self: String,
        run: Long,
        number: Long,
    ) = InstanceDigest(self, run, number, admitted, loads, weights, reads, windows, settled)

    private var number = 0L
    private var last: DigestContent? = null
    private var unchanged = 0

    fun start() {
        timers.every("digest", PeerBoard.DIGEST_PERIOD_MILLIS) { tick() }
    }

    /** Sends a digest now. */
    suspend fun sendNow() {
        val current = content()
        last = current
        unchanged = 0
        send(current)
    }

    private suspend fun tick() {
        val current = content()
        unchanged = if (current == last) unchanged + 1 else 0
        last = current
        // An idle instance still has to be heard within the time for which digests are believed.
        if (unchanged % IDLE_PERIODS == 0) send(current)
    }

    private suspend fun send(content: DigestContent) {
        val targets =
            directory.snapshot.peers.values
                .filter { it.name != self }
                .map { it.host to it.port }
        if (targets.isEmpty()) return
        network.send(
            content.digest(self, run, ++number),
            targets,
        )
    }

    private companion object {
        /** Periods between digests that say nothing new: half of the time for which a digest is believed. */
        const val IDLE_PERIODS: Int = 2
    }
}
