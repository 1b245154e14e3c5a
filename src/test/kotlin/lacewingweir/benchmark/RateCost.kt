package lacewingweir.benchmark

import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.runBlocking
import lacewingweir.coordination.membership.BaseShare
import lacewingweir.coordination.peer.FakePeers
import lacewingweir.coordination.peer.Heartbeat
import lacewingweir.coordination.rate.RateAgent
import lacewingweir.coordination.rate.RateMetrics
import lacewingweir.coordination.rate.ReserveResult
import lacewingweir.state.id.BundleNumber
import lacewingweir.testing.ManualTimers
import kotlin.random.Random

/** Measures the retained memory and processor time of rate shares, by numbers of customers and of peers. */
internal fun main() {
    println("customers peers  bytes/customer  reserve us  sweep us  hints us  heartbeat of a peer us")
    for ((customers, peers) in listOf(46 to 33, 460 to 33, 460 to 330, 1_380 to 33)) measure(customers, peers)
}

private fun measure(
    customers: Int,
    peers: Int,
) {
    val bundle = Fleets.bundle(customers, 0, 1, 1, 1)
    val (measured, bytes) =
        Measure.retainedBy {
            val timers = ManualTimers()
            val fleet = FakePeers()
            val network = fleet.join("self")
            val agent =
                RateAgent(
                    network,
                    { BaseShare(1, 1, startsFull = true) },
                    { 0 },
                    { bundle },
                    timers,
                    timers,
                    metrics = RateMetrics(PrometheusRegistry()),
                    random = Random(1),
                )
            val otherPeers = (0 until peers).map { fleet.join("peer-%04d".format(it)) }
            agent.rateHints()
            val heartbeats =
                otherPeers.mapIndexed { index, other ->
                    val hints = (0 until HINTS).associate { bundle.customers[(index + it) % customers].id to 1_000L }
                    other to Heartbeat(1, 1, 1, BundleNumber(1), 1, true, hints)
                }
            heartbeats.forEach { (other, heartbeat) -> other.send(network.self.name, heartbeat) }
            MeasuredAgent(agent, timers) {
                val (other, heartbeat) = heartbeats[it % peers]
                other.send(network.self.name, heartbeat)
            }
        }
    val customer = bundle.customers.first().id
    val reserveMicros =
        Measure.microsPerCall {
            runBlocking {
                val reserved = measured.agent.reserve(customer, 1) as ReserveResult.Reserved
                reserved.reservation.close()
            }
        }
    val sweepMicros = Measure.microsPerCall { measured.timers.advance(200) }
    val hintsMicros = Measure.microsPerCall { measured.agent.rateHints() }
    var round = 0
    val heartbeatMicros = Measure.microsPerCall { measured.heartbeat(round++) }
    println(
        "%9d %5d %15d %11.2f %9.1f %9.1f %23.1f"
            .format(customers, peers, bytes / customers, reserveMicros, sweepMicros, hintsMicros, heartbeatMicros),
    )
}

private class MeasuredAgent(
    val agent: RateAgent,
    val timers: ManualTimers,
    val heartbeat: (Int) -> Unit,
)

/** The number of customers in the hints of a heartbeat. */
private const val HINTS = 32
