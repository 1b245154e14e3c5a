package lacewingweir.coordination.peer

import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.Incarnation
import lacewingweir.state.id.InstanceName

/**
 * In-memory networks of several instances. They deliver messages synchronously, except while [silent] is set or if the
 * sender or the receiver is in [cutOff].
 */
internal class FakePeers {
    private val networks = LinkedHashMap<InstanceName, Network>()
    val cutOff = HashSet<String>()

    @Volatile
    var silent = false

    fun join(name: String): PeerNetwork = Network(address(name)).also { networks[it.self.name] = it }

    private fun address(name: String): PeerAddress =
        PeerAddress(InstanceName(name), Incarnation("1"), "127.0.0.1", 1, 2, FailureDomain("d"))

    private inner class Network(
        override val self: PeerAddress,
    ) : PeerNetwork {
        private val handlers = ArrayList<(PeerAddress, PeerMessage) -> Unit>()

        override fun connectedPeers(): List<PeerAddress> =
            networks.values.map { it.self }.filter {
                it != self &&
                    it.name.value !in cutOff &&
                    self.name.value !in cutOff
            }

        override fun addPeer(address: PeerAddress) = Unit

        override fun send(
            to: InstanceName,
            message: PeerMessage,
        ): Boolean {
            if (silent || connectedPeers().none { it.name == to }) return false
            networks.getValue(to).handlers.forEach { it(self, message) }
            return true
        }

        override fun subscribe(handler: (from: PeerAddress, message: PeerMessage) -> Unit) {
            handlers.add(handler)
        }
    }
}
