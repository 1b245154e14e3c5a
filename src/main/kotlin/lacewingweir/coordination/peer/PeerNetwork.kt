package lacewingweir.coordination.peer

import lacewingweir.state.id.InstanceName

/** Sends messages between instances. A message may be lost or delayed but is never delivered twice. */
public interface PeerNetwork {
    /** The address of this instance. */
    public val self: PeerAddress

    /** Returns the peers that are connected now. */
    public fun connectedPeers(): List<PeerAddress>

    /** Adds a peer, to which the network then keeps a connection. */
    public fun addPeer(address: PeerAddress)

    /**
     * Queues [message] for sending to [to]. Returns false and drops the message if there is no connection or its queue
     * is full.
     */
    public fun send(
        to: InstanceName,
        message: PeerMessage,
    ): Boolean

    /** Calls [handler] for every received message. Handlers must not block. */
    public fun subscribe(handler: (from: PeerAddress, message: PeerMessage) -> Unit)
}
