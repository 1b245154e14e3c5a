/**
 * The engines between which runs are being handed over, by this instance and by its peers.
 *
 * A run that has been stopped is lost if its next engine refuses it, and can go back only as long as its own engine
 * accepts it. Engines that have been told to load accept nothing, so none is told to that is part of a transfer. An
 * instance begins a transfer before it knows of a later load of the next engine, and the holder of the rollout lease
 * waits after the announcement of a load until it has the reports of the transfers that began before.
 */
package lacewingweir.coordination.placement

import lacewingweir.coordination.gossip.TransferReport
import lacewingweir.state.id.EndpointTag
import lacewingweir.state.time.MonotonicClock

/** A transfer of one run from [source] to [target], which lasts until [end] or [RunTransfers.VALIDITY_MILLIS]. */
internal class RunTransfer(
    private val transfers: RunTransfers,
    val source: EndpointTag,
    val target: EndpointTag,
) {
    /** Makes the transfer last as long as if it began now. */
    fun renew() = transfers.renew(this)

    /** Ends the transfer. Further calls have no effect. */
    fun end() = transfers.end(this)
}

/**
 * Keeps the transfers. Reports start with a number of at least [firstNumber], which must increase with each run of the
 * instance. [onChanged] is called when the engines in this instance's own report have changed.
 */
internal class RunTransfers(
    private val self: String,
    private val clock: MonotonicClock,
    firstNumber: Long,
    private val onChanged: () -> Unit = {},
) {
    private class ReceivedReport(
        val number: Long,
        val engines: Set<EndpointTag>,
        val validUntilMillis: Long,
    )

    private val ownUntilMillis = HashMap<RunTransfer, Long>()
    private val peerReports = HashMap<String, ReceivedReport>()
    private var number = firstNumber
    private var changedAtMillis = clock.nowMillis()

    fun begin(
        source: EndpointTag,
        target: EndpointTag,
    ): RunTransfer = RunTransfer(this, source, target).also(::renew)

    fun renew(transfer: RunTransfer) = change { ownUntilMillis[transfer] = clock.nowMillis() + VALIDITY_MILLIS }

    fun end(transfer: RunTransfer) = change { ownUntilMillis.remove(transfer) }

    private fun change(apply: () -> Unit) {
        val changed =
            synchronized(this) {
                val before = ownEngines()
                apply()
                (ownEngines() != before).also { if (it) onEnginesChanged() }
            }
        if (changed) onChanged()
    }

    private fun onEnginesChanged() {
        number++
        changedAtMillis = clock.nowMillis()
    }

    /** Returns the engines in the transfers of this instance, for its peers. */
    @Synchronized
    fun report() = TransferReport(self, number, ownEngines().toList())

    /** Returns the [report], or null if peers know that there are no transfers. */
    @Synchronized
    fun reportIfAny(): TransferReport? =
        report().takeIf { it.engines.isNotEmpty() || clock.nowMillis() - changedAtMillis < VALIDITY_MILLIS }

    /**
     * Applies the report of a peer, unless a later one is known. The numbers of an instance that has restarted may be
     * lower if its wall clock was set back.
     */
    @Synchronized
    fun onReport(report: TransferReport) {
        val now = clock.nowMillis()
        val known = peerReports[report.instance]?.takeIf { it.validUntilMillis > now }
        if (known != null && report.number < known.number) return
        peerReports[report.instance] = ReceivedReport(report.number, report.engines.toSet(), now + VALIDITY_MILLIS)
    }

    /** Returns whether a run is being handed over from or to the engine. */
    @Synchronized
    fun includes(engine: EndpointTag): Boolean {
        val now = clock.nowMillis()
        return engine in ownEngines() || peerReports.values.any { it.validUntilMillis > now && engine in it.engines }
    }

    private fun ownEngines(): Set<EndpointTag> {
        val now = clock.nowMillis()
        if (ownUntilMillis.values.removeIf { it <= now }) onEnginesChanged()
        return ownUntilMillis.keys.flatMapTo(HashSet()) { listOf(it.source, it.target) }
    }

    companion object {
        /**
         * Longest time from the stop of a run to its first event at the next engine: the last copy, the way to an
         * engine that refuses the run, and the way back. A report counts as long without a later one.
         */
        const val VALIDITY_MILLIS: Long = 3_000
    }
}
