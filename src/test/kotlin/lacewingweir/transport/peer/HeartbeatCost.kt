package lacewingweir.transport.peer

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import lacewingweir.coordination.peer.Heartbeat
import lacewingweir.coordination.peer.HeartbeatAck
import lacewingweir.coordination.peer.PeerAddress
import lacewingweir.state.id.BundleNumber
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.Incarnation
import lacewingweir.state.id.InstanceName
import java.lang.management.ManagementFactory

private const val WARM_UP_MILLIS = 8_000L
private const val MEASURE_MILLIS = 10_000L

private fun cpuNanos(): Long =
    (ManagementFactory.getOperatingSystemMXBean() as com.sun.management.OperatingSystemMXBean).processCpuTime

/** Measures the processor time and bytes of heartbeats and their acknowledgements in a full mesh over loopback. */
internal fun main() {
    for (size in listOf(4, 8, 16, 32)) {
        runBlocking { measure(size) }
    }
}

private suspend fun measure(size: Int) {
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val networks = ArrayList<KtorPeerNetwork>()
    repeat(size) { index ->
        val name = "node-%03d".format(index)
        val address =
            PeerAddress(InstanceName(name), Incarnation("$name-run"), "127.0.0.1", 0, 1, FailureDomain("liege"))
        networks += KtorPeerNetwork(address, "a shared secret of the fleet".toByteArray(), emptyList(), scope).start()
    }
    networks.forEach { one -> networks.filter { it !== one }.forEach { one.addPeer(it.self) } }
    networks.forEach { network ->
        network.subscribe { from, message ->
            if (message is Heartbeat) network.send(from.name, HeartbeatAck(message.number, message.epoch))
        }
    }
    var number = 0L

    suspend fun rounds(millis: Long) {
        repeat((millis / 1_000).toInt()) {
            number++
            networks.forEach { network ->
                val heartbeat = Heartbeat(number, 12, 12, BundleNumber(400), 9_000, true)
                network.connectedPeers().forEach { network.send(it.name, heartbeat) }
            }
            delay(1_000)
        }
    }
    rounds(WARM_UP_MILLIS)
    val links = networks.sumOf { it.connectedPeers().size }
    val cpu = cpuNanos()
    val bytes = networks.sumOf { network -> network.traffic().values.sumOf { it.sentBytes + it.receivedBytes } }
    rounds(MEASURE_MILLIS)
    val seconds = MEASURE_MILLIS / 1_000.0
    val cpuPerNode = (cpuNanos() - cpu) / 1e9 / seconds / size * 100
    val after = networks.sumOf { network -> network.traffic().values.sumOf { it.sentBytes + it.receivedBytes } }
    val bytesPerNode = (after - bytes) / seconds / size
    println(
        "nodes %d links/node %.1f cpu/node %.3f%% of a core, bytes/s and node (sent and received) %.0f"
            .format(size, links.toDouble() / size, cpuPerNode, bytesPerNode),
    )
    networks.forEach { it.close() }
    scope.cancel()
}
