package lacewingweir.transport.digest

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.BoundDatagramSocket
import io.ktor.network.sockets.Datagram
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.awaitClosed
import io.ktor.network.sockets.isClosed
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.Buffer
import kotlinx.io.readByteArray
import kotlinx.serialization.SerializationException
import lacewingweir.coordination.gossip.DigestNetwork
import lacewingweir.coordination.gossip.PeerDatagram
import lacewingweir.coordination.time.PartFailures
import lacewingweir.coordination.time.contain
import lacewingweir.coordination.time.keepRunning
import lacewingweir.transport.traffic.MessageCounter

private val logger = KotlinLogging.logger {}

/**
 * A [DigestNetwork] on UDP. [onDatagram] is called for each readable datagram that arrives at [host] and [port].
 *
 * Failures to send are logged and otherwise ignored. All datagrams of a message are sent on one thread, because handing
 * each one over to another thread costs more than sending it.
 */
internal class DatagramDigestNetwork(
    private val host: String,
    private val port: Int,
    private val scope: CoroutineScope,
    private val failures: PartFailures = PartFailures(),
    private val onDatagram: (PeerDatagram) -> Unit,
) : DigestNetwork,
    AutoCloseable {
    private val selector = SelectorManager(Dispatchers.IO)
    private var receiver: Job? = null

    @Volatile
    private var socket: BoundDatagramSocket? = null

    /** Datagrams handed to the socket, with the size of their headers. */
    val sent = MessageCounter()

    /** Datagrams received, with the size of their headers. */
    val received = MessageCounter()

    suspend fun start() {
        bind()
        receiver = scope.launch { failures.keepRunning("datagram receiver") { receive() } }
    }

    private suspend fun bind(): BoundDatagramSocket =
        aSocket(selector).udp().bind(InetSocketAddress(host, port)).also { socket = it }

    private suspend fun receive() {
        // A failure may have closed the socket.
        val boundSocket = socket?.takeUnless { it.isClosed } ?: bind()
        while (true) {
            val bytes = boundSocket.receive().packet.readByteArray()
            received.add(bytes.size + DATAGRAM_HEADER_BYTES)
            failures.contain("datagram of ${bytes.size} bytes") { decode(bytes)?.let(onDatagram) }
        }
    }

    override suspend fun send(
        datagram: PeerDatagram,
        targets: List<Pair<String, Int>>,
    ): Int {
        val boundSocket = socket ?: return 0
        val bytes = DigestCodec.encode(datagram)
        withContext(Dispatchers.IO) {
            for ((targetHost, targetPort) in targets) sendTo(boundSocket, bytes, targetHost, targetPort)
        }
        return bytes.size + DATAGRAM_HEADER_BYTES
    }

    /** Closes the socket and waits until its port is free. */
    override fun close() {
        receiver?.cancel()
        socket?.let {
            it.close()
            runBlocking { withTimeoutOrNull(CLOSE_TIMEOUT_MILLIS) { it.awaitClosed() } }
        }
        selector.close()
    }

    private suspend fun sendTo(
        boundSocket: BoundDatagramSocket,
        bytes: ByteArray,
        targetHost: String,
        targetPort: Int,
    ) {
        try {
            boundSocket.send(Datagram(Buffer().apply { write(bytes) }, InetSocketAddress(targetHost, targetPort)))
            sent.add(bytes.size + DATAGRAM_HEADER_BYTES)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            logger.debug { "digest: failed to send to $targetHost:$targetPort: ${e.message}" }
        }
    }

    private fun decode(bytes: ByteArray): PeerDatagram? =
        try {
            DigestCodec.decode(bytes)
        } catch (e: SerializationException) {
            logger.warn { "digest: malformed datagram of ${bytes.size} bytes: ${e.message}" }
            null
        }

    private companion object {
        /** Size of the IPv4 and UDP headers. */
        const val DATAGRAM_HEADER_BYTES: Int = 28
        const val CLOSE_TIMEOUT_MILLIS: Long = 1_000
    }
}
