/**
 * Sends the state of this instance to its peers.
 *
 * The traffic between instances grows with the square of their number, and instances share small links with their
 * callers. Digests are therefore paced by their size: a larger fleet sends them less often, and its instances know each
 * other's state later, instead of delaying the callers' requests. The same holds for reports, each kind of which has
 * the budget once more.
 */
package lacewingweir.coordination.gossip

import lacewingweir.coordination.fleet.FleetDirectory
import lacewingweir.coordination.time.TimerService
import lacewingweir.state.id.EndpointId
import kotlin.random.Random

/**
 * Sends digests periodically, and reports of engines on demand.
 *
 * [self] is the name of this instance. [createDigest] returns the current digest for the given interval, with the
 * totals of the rate windows if asked for. The sender assigns its number. [createReport] returns the report of the
 * given engines, [createTransferReport] that of the runs being handed over, and [createCrashNews] the news of crashes,
 * or null if there are none. All functions must be called on the thread of [timers].
 */
internal class DigestSender(
    private val self: String,
    private val directory: FleetDirectory,
    private val network: DigestNetwork,
    private val timers: TimerService,
    private val random: Random = Random.Default,
    private val createDigest: (intervalMillis: Long, withWindowTotals: Boolean) -> InstanceDigest,
    private val createReport: (engines: Set<EndpointId>) -> EngineReport,
    private val createTransferReport: () -> TransferReport,
    private val createCrashNews: () -> CrashNews?,
) {
    private var number = 0L
    private var intervalMillis = MIN_INTERVAL_MILLIS
    private var lastDigest: InstanceDigest? = null
    private var unchangedIntervals = 0
    private val pendingEngines = LinkedHashSet<EndpointId>()
    private val engineReports =
        PacedReports("engine report") {
            PeerDatagram(engineReport = createReport(pendingEngines.toSet())).also { pendingEngines.clear() }
        }
    private val transferReports =
        PacedReports("transfer report") { PeerDatagram(transferReport = createTransferReport()) }
    private val crashReports =
        PacedReports("crash news") { createCrashNews()?.let { PeerDatagram(crashNews = it) } }

    fun start() = scheduleDigest()

    /** Reports to all peers that the loading of [engines] has begun or ended. */
    suspend fun reportEngines(engines: Collection<EndpointId>) {
        pendingEngines += engines
        engineReports.request()
    }

    /** Reports to all peers that the engines between which runs are handed over have changed. */
    suspend fun reportTransfers() = transferReports.request()

    /** Sends the current news of crashes to all peers. */
    suspend fun reportCrashNews() = crashReports.request()

    private fun scheduleDigest() {
        val delayMillis = (intervalMillis * (1 + random.nextDouble(JITTER))).toLong()
        timers.after("digest", delayMillis) {
            try {
                sendDigest()
            } finally {
                scheduleDigest()
            }
        }
    }

    private suspend fun sendDigest() {
        val withWindowTotals = number % WINDOW_TOTALS_PERIOD == 0L
        val digest = createDigest(intervalMillis, withWindowTotals)
        unchangedIntervals = if (digest == lastDigest) unchangedIntervals + 1 else 0
        lastDigest = digest
        // Also sent without changes, because peers consider an instance silent once its latest digest expires.
        if (unchangedIntervals % UNCHANGED_SEND_INTERVALS != 0) return
        val budgetMillis = send(PeerDatagram(digest = digest.copy(number = ++number)))
        val datagramsMillis = peers().size * MILLIS_PER_SECOND / DATAGRAMS_PER_SECOND
        intervalMillis = maxOf(MIN_INTERVAL_MILLIS, budgetMillis, datagramsMillis)
    }

    /** Sends a datagram from [create] on each request, or once after a pause if the previous one used up the budget. */
    private inner class PacedReports(
        private val name: String,
        private val create: () -> PeerDatagram?,
    ) {
        private var paused = false
        private var requested = false

        suspend fun request() {
            requested = true
            if (!paused) sendRequested()
        }

        private suspend fun sendRequested() {
            paused = true
            requested = false
            var pauseMillis = MIN_REPORT_PAUSE_MILLIS
            try {
                create()?.let { pauseMillis = maxOf(pauseMillis, send(it)) }
            } finally {
                timers.after(name, pauseMillis) {
                    paused = false
                    if (requested) sendRequested()
                }
            }
        }
    }

    /** Sends [datagram] to all peers. Returns for how many milliseconds its bytes use up the budget. */
    private suspend fun send(datagram: PeerDatagram): Long {
        val targets = peers().map { it.host to it.port }
        if (targets.isEmpty()) return 0
        return network.send(datagram, targets).toLong() * targets.size * MILLIS_PER_SECOND / BYTES_PER_SECOND
    }

    private fun peers() =
        directory.snapshot.peers.values
            .filter { it.name != self }

    companion object {
        /**
         * Instances don't know each other's admissions before the next digest arrives, so a burst can exceed a rate by
         * the tokens requested within this time.
         */
        const val MIN_INTERVAL_MILLIS: Long = 250

        /** Bytes that digests may take up on the link of an instance: an eighth of the smallest one, 7 Mbit/s. */
        const val BYTES_PER_SECOND: Long = 109_000

        /** A datagram costs its receiver processor time whatever its size. */
        const val DATAGRAMS_PER_SECOND: Long = 120
        private const val MILLIS_PER_SECOND: Long = 1_000

        /** Greatest share added to an interval, so that instances that started together don't send together. */
        private const val JITTER: Double = 0.1

        /** Collects the engines of a batch that finish loading at about the same time. */
        private const val MIN_REPORT_PAUSE_MILLIS: Long = 50

        /** Number of intervals between unchanged digests: half of the validity of a digest. */
        private const val UNCHANGED_SEND_INTERVALS: Int = 2

        /** A started instance needs the totals from only one of its peers, so each sends them in some digests only. */
        private const val WINDOW_TOTALS_PERIOD: Long = 8
    }
}
