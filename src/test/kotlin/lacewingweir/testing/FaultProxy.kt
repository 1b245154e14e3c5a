package lacewingweir.testing

import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.thread
import kotlin.concurrent.withLock

/**
 * A TCP proxy on loopback that injects link faults into connections to [targetPort].
 *
 * [dropToTarget] and [dropFromTarget] discard the bytes of one direction and keep the connection open, as a one-way
 * link failure does. [delayMillis] delays every block of bytes in both directions. [hang], [reset] and
 * [refuseConnections] play a partition. [onDataToTarget] gets each block of bytes that is passed on to the target.
 */
internal class FaultProxy(
    private val targetPort: Int,
    private val onDataToTarget: (ByteArray) -> Unit = {},
) : AutoCloseable {
    @Volatile
    private var listener = ServerSocket(0, BACKLOG, LOOPBACK)
    private val sockets: MutableSet<Socket> = ConcurrentHashMap.newKeySet()
    private val lock = ReentrantLock()
    private val resumed = lock.newCondition()

    /** Connections that occupy the backlog of the listener, so that others aren't established. */
    private val fillers = ArrayList<Socket>()

    @Volatile
    var dropToTarget: Boolean = false

    @Volatile
    var dropFromTarget: Boolean = false

    @Volatile
    var delayMillis: Long = 0

    @Volatile
    private var refusing = false

    /** Whether established connections hold their bytes and ends back, and new ones aren't accepted. */
    @Volatile
    private var hanging = false

    @Volatile
    private var closed = false

    val port: Int = listener.localPort

    init {
        accept(listener)
    }

    private fun accept(server: ServerSocket) {
        thread(isDaemon = true, name = "fault-proxy-$port") { acceptLoop(server) }
    }

    private fun acceptLoop(server: ServerSocket) {
        while (!server.isClosed) {
            val client =
                try {
                    server.accept()
                } catch (_: IOException) {
                    return
                }
            awaitResumed()
            when {
                refusing -> client.close()
                server.isClosed -> client.reset()
                else -> connect(client)
            }
        }
    }

    private fun connect(client: Socket) {
        val upstream =
            try {
                Socket(LOOPBACK, targetPort)
            } catch (_: IOException) {
                client.close()
                return
            }
        sockets += client
        sockets += upstream
        forward(client, upstream, onDataToTarget) { dropToTarget }
        forward(upstream, client, {}) { dropFromTarget }
    }

    private fun forward(
        from: Socket,
        to: Socket,
        onData: (ByteArray) -> Unit,
        isDropped: () -> Boolean,
    ) {
        thread(isDaemon = true) {
            try {
                copy(from.getInputStream(), to.getOutputStream(), onData, isDropped)
            } catch (_: IOException) {
                // One side closed its connection; both are closed below.
            }
            awaitResumed()
            from.close()
            to.close()
            sockets -= from
            sockets -= to
        }
    }

    private fun copy(
        input: InputStream,
        output: OutputStream,
        onData: (ByteArray) -> Unit,
        isDropped: () -> Boolean,
    ) {
        val buffer = ByteArray(16 * 1024)
        while (true) {
            val count = input.read(buffer)
            if (count < 0) return
            if (delayMillis > 0) Thread.sleep(delayMillis)
            awaitResumed()
            if (!isDropped()) {
                output.write(buffer, 0, count)
                onData(buffer.copyOf(count))
            }
        }
    }

    private fun awaitResumed() {
        if (hanging) lock.withLock { while (hanging && !closed) resumed.await() }
    }

    private fun Socket.reset() {
        try {
            setSoLinger(true, 0)
        } catch (_: IOException) {
            // The socket is closed already.
        }
        close()
        sockets -= this
    }

    /** Closes all connections and refuses new ones until [restore]. */
    fun cut() {
        refusing = true
        sockets.forEach(Socket::close)
    }

    /**
     * Makes all connections silent in both directions until [restore], as if packets were lost. What was sent meanwhile
     * arrives then. New connections aren't established: they time out.
     */
    fun hang() {
        hanging = true
        fillBacklog()
        // Meanwhile the listener may have accepted one more connection, and does not go on after that.
        fillBacklog()
    }

    private fun fillBacklog() {
        while (fillers.size <= MAX_FILLERS) {
            val filler = Socket()
            try {
                filler.connect(InetSocketAddress(LOOPBACK, port), FILLER_TIMEOUT_MILLIS)
            } catch (_: IOException) {
                filler.close()
                return
            }
            fillers += filler
        }
        error("port $port accepts connections though its backlog holds $BACKLOG")
    }

    /** Resets all connections and refuses new ones until [restore]. */
    fun reset() {
        refuseConnections()
        sockets.forEach { it.reset() }
    }

    /** Refuses new connections until [restore]. Established ones live on. */
    fun refuseConnections() {
        listener.close()
    }

    /** Removes all faults. Connections that were closed stay closed. */
    fun restore() {
        refusing = false
        dropToTarget = false
        dropFromTarget = false
        delayMillis = 0
        fillers.forEach { it.close() }
        fillers.clear()
        if (hanging) {
            lock.withLock {
                hanging = false
                resumed.signalAll()
            }
        }
        if (listener.isClosed && !closed) {
            listener = ServerSocket(port, BACKLOG, LOOPBACK)
            accept(listener)
        }
    }

    override fun close() {
        closed = true
        restore()
        listener.close()
        sockets.forEach(Socket::close)
    }

    private companion object {
        const val BACKLOG = 32

        /** A listener accepts one connection more than its backlog, and the thread that accepts holds another. */
        const val MAX_FILLERS = 4 * BACKLOG
        const val FILLER_TIMEOUT_MILLIS = 60
        val LOOPBACK: InetAddress = InetAddress.getByName("127.0.0.1")
    }
}
