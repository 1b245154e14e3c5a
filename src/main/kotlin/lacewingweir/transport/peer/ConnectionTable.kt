package lacewingweir.transport.peer

import lacewingweir.coordination.peer.PeerAddress
import lacewingweir.state.id.Incarnation
import lacewingweir.state.id.InstanceName
import java.util.concurrent.ConcurrentHashMap
import kotlin.math.abs

/** The current connection to each peer, and the incarnations that were replaced by a newer one of the same name. */
internal class ConnectionTable(
    private val selfName: InstanceName,
) {
    private val connections = ConcurrentHashMap<InstanceName, PeerConnection>()
    private val replacedIncarnations =
        object : LinkedHashMap<Incarnation, Unit>() {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Incarnation, Unit>): Boolean =
                size > MAX_REPLACED_INCARNATIONS
        }

    operator fun get(name: InstanceName): PeerConnection? = connections[name]

    fun all(): List<PeerConnection> = connections.values.toList()

    fun peers(): List<PeerAddress> = connections.values.map { it.peer }

    fun isCurrent(connection: PeerConnection): Boolean = connections[connection.peer.name] === connection

    /**
     * Makes [connection] the current connection to its peer and closes the existing one, unless the existing one takes
     * precedence. Returns whether [connection] is now current.
     *
     * If both sides opened a connection at nearly the same time, both keep the one that the lower name opened.
     * Otherwise the newer one is kept, because the other side would not have opened it if the existing one worked. A
     * connection from a replaced incarnation is never kept.
     */
    @Synchronized
    fun register(connection: PeerConnection): Boolean {
        val peer = connection.peer
        if (replacedIncarnations.containsKey(peer.incarnation)) return false
        val existing = connections[peer.name]
        if (existing != null) {
            if (existing.peer.incarnation != peer.incarnation) {
                replacedIncarnations[existing.peer.incarnation] = Unit
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

    /** Removes [connection] if it is current. Returns whether it was. */
    @Synchronized
    fun remove(connection: PeerConnection): Boolean = connections.remove(connection.peer.name, connection)

    private companion object {
        const val MAX_REPLACED_INCARNATIONS = 4_096
        const val SIMULTANEOUS_OPEN_MILLIS = 2_000L
    }
}
