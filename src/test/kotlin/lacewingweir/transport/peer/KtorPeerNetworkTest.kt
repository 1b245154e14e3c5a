package lacewingweir.transport.peer

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import lacewingweir.coordination.peer.HeartbeatAck
import lacewingweir.coordination.peer.PeerAddress
import lacewingweir.coordination.peer.PeerAddresses
import lacewingweir.coordination.peer.PeerMessage
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.Incarnation
import lacewingweir.state.id.InstanceName
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import java.io.DataInputStream
import java.io.DataOutputStream
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.random.Random

internal class KtorPeerNetworkTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val networks = ArrayList<KtorPeerNetwork>()

    @AfterEach
    fun tearDown() {
        networks.forEach { it.close() }
        scope.cancel()
    }

    private suspend fun network(
        name: String,
        seeds: List<HostPort> = emptyList(),
        secret: String = "a shared secret of the fleet",
        port: Int = 0,
        incarnation: String = "$name-1",
        limits: PeerLimits = PeerLimits(),
    ): KtorPeerNetwork {
        val address =
            PeerAddress(InstanceName(name), Incarnation(incarnation), "127.0.0.1", port, 1, FailureDomain("liege"))
        return KtorPeerNetwork(address, secret.toByteArray(), seeds, scope, limits = limits)
            .also(networks::add)
            .start()
    }

    private fun KtorPeerNetwork.listenAddress() = HostPort(self.host, self.peerPort)

    private suspend fun await(condition: () -> Boolean) = withTimeout(10_000) { while (!condition()) delay(10) }

    private fun KtorPeerNetwork.received(): ConcurrentLinkedQueue<Pair<PeerAddress, PeerMessage>> =
        ConcurrentLinkedQueue<Pair<PeerAddress, PeerMessage>>().also { queue ->
            subscribe { f, m -> queue.add(f to m) }
        }

    @Test
    fun `peers connect through a seed and exchanged addresses, and count their messages`() =
        runBlocking<Unit> {
            val a = network("a")
            val b = network("b", listOf(a.listenAddress()))
            val c = network("c", listOf(a.listenAddress()))
            val inbox = c.received()
            await { a.connectedPeers().size == 2 }
            a.send(InstanceName("c"), PeerAddresses(listOf(b.self)))
            await { c.connectedPeers().size == 2 && b.connectedPeers().size == 2 }
            expectThat(c.connectedPeers()).containsExactlyInAnyOrder(a.self, b.self)
            b.send(InstanceName("c"), HeartbeatAck(5, 1))
            await { inbox.contains(b.self to HeartbeatAck(5, 1)) }
            expectThat(c.traffic().getValue("heartbeatAck").receivedMessages).isEqualTo(1)
            expectThat(c.traffic().getValue("heartbeatAck").receivedBytes).isGreaterThan(10)
        }

    // Guards against a pair that keeps two connections, or none, after both sides dialed at the same time.
    @Test
    fun `two peers that dial each other keep a working connection`() =
        runBlocking<Unit> {
            val a = network("a")
            val b = network("b")
            a.addPeer(b.self)
            b.addPeer(a.self)
            val inbox = b.received()
            await { a.connectedPeers().isNotEmpty() && b.connectedPeers().isNotEmpty() }
            delay(700)
            expectThat(a.send(b.self.name, HeartbeatAck(1, 1))).isEqualTo(true)
            await { inbox.isNotEmpty() }
        }

    // Guards against a process without the secret that joins the fleet or receives its messages.
    @Test
    fun `a peer with another secret is refused by both sides`() =
        runBlocking<Unit> {
            val a = network("a")
            val b = network("b", listOf(a.listenAddress()), secret = "another secret altogether")
            delay(1_000)
            expectThat(a.connectedPeers()).isEmpty()
            expectThat(b.connectedPeers()).isEmpty()
            expectThat(b.send(a.self.name, HeartbeatAck(1, 1))).isFalse()
            expectThat(b.traffic().getValue("heartbeatAck").droppedMessages).isEqualTo(1)
        }

    // Guards against messages that are sent to a previous incarnation of an instance.
    @Test
    fun `a restarted peer replaces its previous incarnation`() =
        runBlocking<Unit> {
            val a = network("a")
            val firstRun = network("b", listOf(a.listenAddress()))
            await { a.connectedPeers().isNotEmpty() }
            val restarted = network("b", listOf(a.listenAddress()), incarnation = "b-2")
            await { a.connectedPeers().single().incarnation == restarted.self.incarnation }
            delay(700)
            expectThat(a.connectedPeers()).isEqualTo(listOf(restarted.self))
            expectThat(firstRun.connectedPeers()).isEmpty()
            restarted.close()
            await { a.connectedPeers().isEmpty() }
        }

    @Test
    fun `a lost connection is dialed again`() =
        runBlocking<Unit> {
            val a = network("a")
            val b = network("b", listOf(a.listenAddress()))
            await { b.connectedPeers().isNotEmpty() }
            val port = a.self.peerPort
            a.close()
            await { b.connectedPeers().isEmpty() }
            network("a", port = port, incarnation = "a-2")
            await { b.connectedPeers().singleOrNull()?.incarnation == Incarnation("a-2") }
        }

    @Test
    fun `idle connections are closed during and after the handshake`() =
        runBlocking<Unit> {
            val limits = PeerLimits(handshakeTimeoutMillis = 300, idleTimeoutMillis = 500)
            val a = network("a", limits = limits)
            Socket("127.0.0.1", a.self.peerPort).use { socket ->
                socket.soTimeout = 5_000
                expectThat(socket.getInputStream().read()).isEqualTo(-1)
            }
            val b = network("b", listOf(a.listenAddress()))
            await { b.connectedPeers().isNotEmpty() }
            await { b.connectedPeers().isEmpty() }
        }

    // Guards against random or oversized frames that stop the listener or leak connections.
    @Test
    fun `the listener keeps working after random and oversized frames`() =
        runBlocking<Unit> {
            val seed = Random.nextLong()
            println("KtorPeerNetworkTest seed $seed")
            val random = Random(seed)
            val a = network("a", limits = PeerLimits(handshakeTimeoutMillis = 500))
            repeat(60) { round ->
                Socket("127.0.0.1", a.self.peerPort).use { socket ->
                    socket.soTimeout = 5_000
                    val output = DataOutputStream(socket.getOutputStream())
                    output.writeInt(if (round % 3 == 0) random.nextInt() else random.nextInt(1, 300))
                    runCatching { output.write(random.nextBytes(random.nextInt(400))) }
                    if (round % 5 == 0) runCatching { DataInputStream(socket.getInputStream()).readInt() }
                }
            }
            network("b", listOf(a.listenAddress()))
            await { a.connectedPeers().size == 1 }
        }
}
