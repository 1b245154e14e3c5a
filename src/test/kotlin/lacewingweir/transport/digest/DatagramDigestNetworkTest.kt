package lacewingweir.transport.digest

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import lacewingweir.coordination.gossip.PeerDatagram
import lacewingweir.coordination.gossip.StreamMessage
import lacewingweir.coordination.time.PartFailures
import lacewingweir.testing.eventually
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/** Guards against a datagram that ends the receiving of all others. */
internal class DatagramDigestNetworkTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val port = DatagramSocket(0, InetAddress.getLoopbackAddress()).use { it.localPort }
    private val failures = PartFailures()
    private val received = AtomicInteger()

    @Volatile
    private var onDatagram: () -> Unit = {}

    private val network =
        DatagramDigestNetwork("127.0.0.1", port, scope, failures) {
            onDatagram()
            received.incrementAndGet()
        }

    @AfterEach
    fun close() {
        scope.cancel()
        network.close()
    }

    private suspend fun expectReceiving() =
        eventually("a datagram is received") {
            network.send(PeerDatagram(streamMessage = StreamMessage("a")), listOf("127.0.0.1" to port))
            delay(20)
            received.get() > 0
        }

    @Test
    fun `datagrams are received after one that fails its receiver`(): Unit =
        runBlocking {
            network.start()
            onDatagram = { if (failures.total == 0L) throw StackOverflowError() }
            expectReceiving()
            expectThat(failures.total).isGreaterThan(0)
        }

    @Test
    fun `datagrams are received after malformed ones`(): Unit =
        runBlocking {
            network.start()
            val random = Random(1)
            DatagramSocket().use { socket ->
                // Arrays and maps within each other, byte strings of impossible lengths, and noise.
                val starts = listOf(0x81, 0xa1, 0x9f, 0xbf, 0x5b, 0x7b, 0xfb)
                for (start in starts) {
                    socket.send(datagram(ByteArray(MAX_DATAGRAM_BYTES) { start.toByte() }))
                    socket.send(datagram(byteArrayOf(0xa1.toByte(), 1) + ByteArray(9) { start.toByte() }))
                }
                repeat(200) { socket.send(datagram(random.nextBytes(40))) }
            }
            expectReceiving()
        }

    private fun datagram(bytes: ByteArray) = DatagramPacket(bytes, bytes.size, InetAddress.getLoopbackAddress(), port)

    private companion object {
        const val MAX_DATAGRAM_BYTES = 60_000
    }
}
