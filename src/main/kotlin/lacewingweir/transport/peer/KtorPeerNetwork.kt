package lacewingweir.transport.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.isClosed
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import lacewingweir.coordination.peer.PeerAddress
import lacewingweir.coordination.peer.PeerAddresses
import lacewingweir.coordination.peer.PeerMessage
import lacewingweir.coordination.peer.PeerNetwork
import lacewingweir.protocol.peer.EncodedPeerMessage
import lacewingweir.protocol.peer.PeerAuthenticator
import lacewingweir.protocol.peer.PeerCodec
import lacewingweir.protocol.peer.PeerDecodeResult
import lacewingweir.state.id.InstanceName
import lacewingweir.state.time.MonotonicClock
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

/**
 * A [PeerNetwork] over TCP with length-prefixed CBOR frames.
 *
 * Each pair of instances keeps one connection, opened by whichever side knows the address of the other. A message to a
 * peer whose queue is full is dropped and counted. A peer that sends a malformed frame is disconnected and dialed again
 * with backoff. Messages of unknown types are skipped.
 *
 * @param address the address of this instance; a `peerPort` of zero binds a free port
 * @param secret the shared secret of the fleet
 * @param seeds the addresses that are dialed from the start and are never removed
 */
public class KtorPeerNetwork(
    address: PeerAddress,
    secret: ByteArray,
    private val seeds: List<HostPort>,
    parentScope: CoroutineScope,
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
    private val limits: PeerLimits = PeerLimits(),
    private val bindHost: String = address.host,
    random: Random = Random.Default,
) : PeerNetwork,
    AutoCloseable {
    private val job = Job(parentScope.coroutineContext.job)
    private val scope = CoroutineScope(parentScope.coroutineContext + job)
    private val selector = SelectorManager(Dispatchers.IO)
    private val handshake = PeerHandshake(PeerAuthenticator(secret))
    private val dialScheduler = DialScheduler(address.name, limits, random)
    private val connections = ConnectionTable(address.name)
    private val handlers = CopyOnWriteArrayList<(PeerAddress, PeerMessage) -> Unit>()
    private val counters = TrafficCounters()
    private val pendingHandshakes = AtomicInteger()
    private val lastEncodedMessage = AtomicReference<Pair<PeerMessage, EncodedPeerMessage>?>(null)
    private var listener: ServerSocket? = null

    /** The address of this instance, with the bound port after [start]. */
    @Volatile
    override var self: PeerAddress = address
        private set

    /**
     * Binds the listener and starts to dial the seeds.
     *
     * @throws java.net.BindException if the address is in use
     */
    public suspend fun start(): KtorPeerNetwork {
        val server = aSocket(selector).tcp().bind(bindHost, self.peerPort) { reuseAddress = true }
        listener = server
        self = self.copy(peerPort = (server.localAddress as InetSocketAddress).port)
        seeds.forEach { dialScheduler.addSeed(it, clock.nowMillis()) }
        scope.launch { acceptLoop(server) }
        scope.launch { maintenanceLoop() }
        return this
    }

    override fun connectedPeers(): List<PeerAddress> = connections.peers()

    override fun addPeer(address: PeerAddress) {
        dialScheduler.add(address, clock.nowMillis())
    }

    override fun send(
        to: InstanceName,
        message: PeerMessage,
    ): Boolean {
        val connection = connections[to]
        val encoded = if (connection == null) null else encode(message)
        val queued = encoded != null && connection != null && connection.offer(encoded)
        if (!queued) counters.dropped(PeerCodec.typeOf(message))
        return queued
    }

    /** Encodes [message]. A message that is sent to several peers in a row is encoded only once. */
    private fun encode(message: PeerMessage): EncodedPeerMessage? {
        val cached = lastEncodedMessage.get()
        if (cached != null && cached.first === message) return cached.second
        val encoded = PeerCodec.encode(message)
        if (encoded == null) {
            logger.warn { "peer: dropped ${PeerCodec.typeOf(message)} larger than ${PeerCodec.MAX_FRAME_BYTES} bytes" }
        } else {
            lastEncodedMessage.set(message to encoded)
        }
        return encoded
    }

    override fun subscribe(handler: (from: PeerAddress, message: PeerMessage) -> Unit) {
        handlers.add(handler)
    }

    /** Returns the traffic since the start by message type. */
    public fun traffic(): Map<String, PeerTraffic> = counters.snapshot()

    private suspend fun acceptLoop(server: ServerSocket) {
        while (scope.isActive) {
            val socket =
                try {
                    server.accept()
                } catch (e: CancellationException) {
                    throw e
                } catch (e: Exception) {
                    if (server.isClosed || !scope.isActive) return
                    logger.warn(e) { "peer: accepting a connection failed" }
                    delay(limits.minBackoffMillis)
                    continue
                }
            startHandshake(socket)
        }
    }

    private fun startHandshake(socket: Socket) {
        if (pendingHandshakes.incrementAndGet() > limits.maxPendingHandshakes) {
            pendingHandshakes.decrementAndGet()
            socket.close()
            return
        }
        scope.launch {
            runConnection(
                socket,
                dialedByUs = false,
                onHandshakeEnd = { pendingHandshakes.decrementAndGet() },
            )
        }
    }

    private suspend fun maintenanceLoop() {
        while (scope.isActive) {
            val now = clock.nowMillis()
            dialScheduler.claimDueTargets(now) { connections[it] != null }.forEach { target ->
                scope.launch { dial(target) }
            }
            connections.all().filter { now - it.lastReceivedMillis > limits.idleTimeoutMillis }.forEach {
                logger.info { "peer: closing idle connection to ${it.peer.name}" }
                it.close()
            }
            delay(MAINTENANCE_PERIOD_MILLIS)
        }
    }

    private suspend fun dial(target: DialTarget) {
        var succeeded = false
        try {
            val socket =
                withTimeoutOrNull(limits.connectTimeoutMillis) {
                    aSocket(selector).tcp().connect(target.address.host, target.address.port)
                } ?: return
            runConnection(socket, dialedByUs = true) { peer ->
                if (peer != null) {
                    succeeded = true
                    dialScheduler.dialSucceeded(target, peer.name, clock.nowMillis())
                }
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            logger.debug { "peer: connecting to ${target.address} failed: ${e.message}" }
        } finally {
            if (!succeeded) dialScheduler.dialFailed(target, clock.nowMillis())
        }
    }

    /** Runs a connection until it ends. Calls [onHandshakeEnd] after the handshake, with `null` if that failed. */
    private suspend fun runConnection(
        socket: Socket,
        dialedByUs: Boolean,
        onHandshakeEnd: (PeerAddress?) -> Unit,
    ) {
        var connection: PeerConnection? = null
        try {
            val input = socket.openReadChannel()
            val output = socket.openWriteChannel(autoFlush = false)
            var peer: PeerAddress? = null
            try {
                val result =
                    withTimeoutOrNull(limits.handshakeTimeoutMillis) {
                        if (dialedByUs) handshake.dial(self, input, output) else handshake.accept(self, input, output)
                    }
                peer = authenticatedPeer(result, socket)
            } finally {
                onHandshakeEnd(peer)
            }
            if (peer == null || peer.name == self.name) return
            val now = clock.nowMillis()
            connection = PeerConnection(peer, dialedByUs, now, socket, input, output, limits, counters)
            if (connections.register(connection)) exchangeMessages(connection)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            logger.debug { "peer: connection to ${connection?.peer?.name} ended: ${e.message}" }
        } finally {
            connection?.close()
            socket.close()
            if (connection != null && connections.remove(connection)) {
                val now = clock.nowMillis()
                dialScheduler.connectionLost(connection.peer.name, now, now - connection.establishedMillis)
            }
        }
    }

    private fun authenticatedPeer(
        result: PeerHandshake.Result?,
        socket: Socket,
    ): PeerAddress? =
        when (result) {
            is PeerHandshake.Result.Accepted -> {
                result.peer
            }

            is PeerHandshake.Result.Refused -> {
                logger.warn { "peer: refused connection with ${socket.remoteAddress}: ${result.reason}" }
                null
            }

            null -> {
                logger.info { "peer: handshake with ${socket.remoteAddress} timed out" }
                null
            }
        }

    private suspend fun exchangeMessages(connection: PeerConnection) {
        dialScheduler.add(connection.peer, clock.nowMillis())
        logger.debug { "peer: connected to ${connection.peer.name}" }
        val writer =
            scope.launch {
                try {
                    connection.writeLoop()
                } catch (e: CancellationException) {
                    throw e
                } catch (e: Exception) {
                    logger.debug { "peer: sending to ${connection.peer.name} failed: ${e.message}" }
                } finally {
                    connection.close()
                }
            }
        try {
            while (receive(connection)) {
                // receive() handles one frame per call.
            }
        } finally {
            writer.cancel()
        }
    }

    private suspend fun receive(connection: PeerConnection): Boolean {
        val frame = connection.readFrame(PeerCodec.MAX_FRAME_BYTES)
        if (frame == null) {
            logger.warn { "peer: ${connection.peer.name} sent a frame with an invalid length; disconnecting" }
            return false
        }
        connection.lastReceivedMillis = clock.nowMillis()
        when (val result = PeerCodec.decode(frame)) {
            is PeerDecodeResult.Decoded -> {
                counters.received(result.type, frame.size)
                deliver(connection, result.message)
            }

            is PeerDecodeResult.UnknownType -> {
                counters.received(UNKNOWN_TYPE, frame.size)
                logger.debug { "peer: skipped a message of unknown type from ${connection.peer.name}" }
            }

            is PeerDecodeResult.UnsupportedVersion,
            is PeerDecodeResult.TooLarge,
            is PeerDecodeResult.Malformed,
            -> {
                logger.warn { "peer: ${connection.peer.name} sent an invalid frame ($result); disconnecting" }
                return false
            }
        }
        return true
    }

    private fun deliver(
        connection: PeerConnection,
        message: PeerMessage,
    ) {
        if (!connections.isCurrent(connection)) return
        if (message is PeerAddresses) message.addresses.forEach(::addPeer)
        for (handler in handlers) {
            try {
                handler(connection.peer, message)
            } catch (e: Exception) {
                logger.error(e) { "peer: handling ${PeerCodec.typeOf(message)} failed" }
            }
        }
    }

    /** Closes the listener and all connections. Discards queued messages. */
    override fun close() {
        listener?.close()
        connections.all().forEach { it.close() }
        job.cancel()
        selector.close()
    }

    private companion object {
        const val MAINTENANCE_PERIOD_MILLIS: Long = 50
        const val UNKNOWN_TYPE = "unknown"
    }
}
