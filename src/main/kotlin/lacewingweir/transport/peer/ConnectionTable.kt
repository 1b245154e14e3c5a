package lacewingweir.transport.peer

import lacewingweir.coordination.peer.PeerAddress
import lacewingweir.state.id.Incarnation
import lacewingweir.state.id.InstanceName
import java.util.concurrent.ConcurrentHashMap
import kotlin.math.abs

/** The kept connection to each peer, and the incarnations that were replaced by a later one of the same name. */
internal class ConnectionTable(
    private val selfName: InstanceName,
) {
    private val connections = ConcurrentHashMap<InstanceName, PeerConnection>()
    private val replaced =
        object : LinkedHashMap<Incarnation, Unit>() {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Incarnation, Unit>): Boolean =
                size > MAX_REPLACED
        }

    operator fun get(name: InstanceName): PeerConnection? = connections[name]

    fun all(): List<PeerConnection> = connections.values.toList()

    fun peers(): List<PeerAddress> = connections.values.map { it.peer }

    fun isCurrent(connection: PeerConnection): Boolean = connections[connection.peer.name] === connection

    /**
     * Keeps [connection] if it takes precedence over the existing one of the same peer, which is then closed.
     *
     * Of two connections that both sides opened at nearly the same time, both keep the one opened by the lower name.
     * In other cases the newer one is kept, because the other side would not have opened it if the older one worked.
     */
    @Synchronized
    fun register(connection: PeerConnection): Boolean {
        val peer = connection.peer
        if (replaced.containsKey(peer.incarnation)) return false
        val existing = connections[peer.name]
        if (existing != null) {
            if (existing.peer.incarnation != peer.incarnation) {
                replaced[existing.peer.incarnation] = Unit
            } else if (isSimultaneousOpen(existing, connection) &&
                existing.dialedByUs == selfName.value < peer.name.value
            ) {
                return false
            }
        }
        connections[peer.name] = connection
        existing?.close()
        return true
    }

    private fun isSimultaneousOpen(
        existing: PeerConnection,
        next: PeerConnection,
    ): Boolean =
        existing.dialedByUs != next.dialedByUs &&
            abs(next.establishedMillis - existing.establishedMillis) < SIMULTANEOUS_OPEN_MILLIS

    /** Removes [connection] unless another one has taken its place. */
    @Synchronized
    fun remove(connection: PeerConnection): Boolean = connections.remove(connection.peer.name, connection)

    private companion object {
        const val MAX_REPLACED = 4_096
        const val SIMULTANEOUS_OPEN_MILLIS = 2_000L
    }
}
