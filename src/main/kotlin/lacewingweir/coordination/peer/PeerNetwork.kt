package lacewingweir.coordination.peer

import lacewingweir.state.id.InstanceName

/** Sends typed messages between instances. Messages may be lost or late; none is delivered twice. */
public interface PeerNetwork {
    /** This instance. */
    public val self: PeerAddress

    /** The peers that are connected now. */
    public fun connectedPeers(): List<PeerAddress>

    /** Makes [address] known, so that a connection to it is kept. */
    public fun addPeer(address: PeerAddress)

    /** Queues [message] to [to]. Returns false if there is no connection or its queue is full; the message is lost. */
    public fun send(
        to: InstanceName,
        message: PeerMessage,
    ): Boolean

    /** Calls [handler] for every message received. Handlers must not block. */
    public fun subscribe(handler: (from: PeerAddress, message: PeerMessage) -> Unit)
}
