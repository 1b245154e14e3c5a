package lacewingweir.transport.peer

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import lacewingweir.benchmark.Measure
import lacewingweir.coordination.peer.Heartbeat
import lacewingweir.coordination.peer.HeartbeatAck
import lacewingweir.coordination.peer.PeerAddress
import lacewingweir.state.id.BundleNumber
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.Incarnation
import lacewingweir.state.id.InstanceName
import java.lang.management.ManagementFactory

/** The warm-up uses a shorter period, so that the code is JIT-compiled before the measured rounds. */
private const val WARM_UP_ROUNDS = 300
private const val WARM_UP_PERIOD_MILLIS = 50L
private const val HINT_COUNT = 32
private const val MEASURE_MILLIS = 10_000L

private fun cpuNanos(): Long =
    (ManagementFactory.getOperatingSystemMXBean() as com.sun.management.OperatingSystemMXBean).processCpuTime

/** Measures the CPU time and the bytes of heartbeats and their acknowledgements in a full mesh over loopback. */
internal fun main() {
    for (hints in listOf(0, HINT_COUNT)) {
        for (size in listOf(16, 32, 64)) {
            runBlocking { measure(size, hints) }
        }
    }
    System.exit(0)
}

private suspend fun measure(
    size: Int,
    hints: Int,
) {
    val hintMap = (0 until hints).associate { CustomerId("customer-%04d".format(it)) to 1_000L + it }
    val heapBefore = Measure.retainedBytes()
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val networks = ArrayList<KtorPeerNetwork>()
    repeat(size) { index ->
        val name = "node-%03d".format(index)
        val address =
            PeerAddress(InstanceName(name), Incarnation("$name-run"), "127.0.0.1", 0, 1, FailureDomain("liege"))
        networks += KtorPeerNetwork(address, "a shared secret of the fleet".toByteArray(), emptyList(), scope).start()
    }
    networks.forEach { network -> networks.filter { it !== network }.forEach { network.addPeer(it.self) } }
    networks.forEach { network ->
        network.subscribe { from, message ->
            if (message is Heartbeat) network.send(from.name, HeartbeatAck(message.number, message.epoch))
        }
    }
    var number = 0L

    suspend fun runRounds(
        count: Int,
        periodMillis: Long,
    ) {
        repeat(count) {
            number++
            networks.forEach { network ->
                val heartbeat = Heartbeat(number, 12, 12, BundleNumber(400), 9_000, true, hintMap)
                network.connectedPeers().forEach { network.send(it.name, heartbeat) }
            }
            delay(periodMillis)
        }
    }
    delay(3_000)
    runRounds(WARM_UP_ROUNDS, WARM_UP_PERIOD_MILLIS)
    delay(1_000)
    val retained = Measure.retainedBytes() - heapBefore
    val connectionCount = networks.sumOf { it.connectedPeers().size }
    val cpuBefore = cpuNanos()
    val bytesBefore = networks.sumOf { network -> network.traffic().values.sumOf { it.sentBytes + it.receivedBytes } }
    runRounds((MEASURE_MILLIS / 1_000).toInt(), 1_000)
    val seconds = MEASURE_MILLIS / 1_000.0
    val cpuPerNode = (cpuNanos() - cpuBefore) / 1e9 / seconds / size * 100
    val bytesAfter = networks.sumOf { network -> network.traffic().values.sumOf { it.sentBytes + it.receivedBytes } }
    val bytesPerNode = (bytesAfter - bytesBefore) / seconds / size
    println(
        "nodes %d hints %d links/node %.1f cpu/node %.3f%% of a core, bytes/s and node (both ways) %.0f, heap/node %d"
            .format(size, hints, connectionCount.toDouble() / size, cpuPerNode, bytesPerNode, retained / size),
    )
    networks.forEach { it.close() }
    scope.cancel()
}
