/**
 * Lets one instance of the fleet at a time try out a suspected request.
 *
 * An instance claims the turn, waits until all peers have heard of the claim, and has the turn if no peer with
 * precedence has claimed it meanwhile. Claims are lost with their instance after [TrialTurns.VALIDITY_MILLIS]. If a
 * claim doesn't reach a peer, two trials can run at the same time; each still counts towards the verdict.
 */
package lacewingweir.state.crash

import lacewingweir.state.id.SuspectId

/** Not thread-safe; the owner synchronizes. Times are of the monotonic clock. [self] is the name of this instance. */
internal class TrialTurns(
    private val self: String,
) {
    private val claimedUntil = HashMap<String, Long>()

    /** The request that this instance has claimed the turn for, or null. */
    var claimed: SuspectId? = null
        private set

    /** When this instance last claimed or gave up the turn, or null. */
    var changedAtMillis: Long? = null
        private set

    /** Claims the turn for [request]. Returns false if it is taken. */
    fun claim(
        request: SuspectId,
        nowMillis: Long,
    ): Boolean {
        claimedUntil.values.removeIf { it <= nowMillis }
        if (claimed != null || claimedUntil.isNotEmpty()) return false
        claimed = request
        changedAtMillis = nowMillis
        return true
    }

    /** Returns whether the own claim goes before those of all peers. */
    fun hasPrecedence(nowMillis: Long): Boolean =
        claimed != null && claimedUntil.none { (peer, until) -> until > nowMillis && peer < self }

    /** Gives up the own claim. */
    fun release(nowMillis: Long) {
        if (claimed == null) return
        claimed = null
        changedAtMillis = nowMillis
    }

    /** Applies what [peer] says of its claim. */
    fun onPeer(
        peer: String,
        claims: Boolean,
        nowMillis: Long,
    ) {
        if (claims) claimedUntil[peer] = nowMillis + VALIDITY_MILLIS else claimedUntil.remove(peer)
    }

    companion object {
        /** Longer than a trial normally takes, and than the interval between two digests of a large fleet. */
        const val VALIDITY_MILLIS: Long = 3_000
    }
}
