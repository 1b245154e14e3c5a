package lacewingweir.transport.peer

import lacewingweir.coordination.peer.PeerAddress
import lacewingweir.state.id.InstanceName
import kotlin.math.min
import kotlin.random.Random

/** Schedules when each known peer address is dialed, with exponential backoff after failed or unstable connections. */
internal class DialScheduler(
    private val selfName: InstanceName,
    private val limits: PeerLimits,
    private val random: Random,
) {
    private val targets = HashMap<HostPort, DialTarget>()
    private val byName = HashMap<InstanceName, HostPort>()

    @Synchronized
    fun addSeed(
        seed: HostPort,
        nowMillis: Long,
    ) {
        targets.getOrPut(seed) { DialTarget(seed, true, null, nowMillis, nowMillis) }
    }

    /**
     * Adds the address of [peer], which replaces a previous address of the same name.
     *
     * Of a pair of instances, the one with the higher name delays its first attempt, so that two instances that learn
     * of each other at the same time usually open only one connection. Does nothing if [PeerLimits.maxKnownAddresses]
     * is reached and the name is new.
     */
    @Synchronized
    fun add(
        peer: PeerAddress,
        nowMillis: Long,
    ) {
        if (peer.name == selfName) return
        val address = HostPort(peer.host, peer.peerPort)
        val previous = byName[peer.name]
        if (previous == address) return
        if (previous == null && targets.size >= limits.maxKnownAddresses) return
        if (previous != null) removeAddress(peer.name, previous)
        byName[peer.name] = address
        val target =
            targets.getOrPut(address) {
                val delayMillis = if (selfName.value < peer.name.value) 0L else HIGHER_NAME_DELAY_MILLIS
                val firstAttemptMillis = nowMillis + delayMillis + random.nextLong(MAX_FIRST_JITTER_MILLIS)
                DialTarget(address, false, null, firstAttemptMillis, nowMillis)
            }
        target.name = peer.name
    }

    private fun removeAddress(
        name: InstanceName,
        address: HostPort,
    ) {
        byName.remove(name)
        val target = targets[address] ?: return
        if (target.name != name) return
        if (target.isSeed) target.name = null else targets.remove(address)
    }

    /**
     * Returns the targets that are due and whose instance is not [connected], and marks them as being dialed. For each,
     * the caller must report the result with [dialSucceeded] or [dialFailed].
     */
    @Synchronized
    fun claimDueTargets(
        nowMillis: Long,
        connected: (InstanceName) -> Boolean,
    ): List<DialTarget> {
        val due =
            targets.values.filter { target ->
                !target.dialInProgress && nowMillis >= target.nextAttemptMillis && target.name?.let(connected) != true
            }
        due.forEach { it.dialInProgress = true }
        return due
    }

    /**
     * Records that [target] was reached and authenticated as [name]. An address of this instance itself is not dialed
     * again.
     */
    @Synchronized
    fun dialSucceeded(
        target: DialTarget,
        name: InstanceName,
        nowMillis: Long,
    ) {
        target.dialInProgress = false
        target.lastReachedMillis = nowMillis
        val expected = target.name
        if (expected != null && expected != name) byName.remove(expected, target.address)
        target.name = name
        if (name == selfName) {
            target.nextAttemptMillis = Long.MAX_VALUE
        } else {
            byName[name] = target.address
            target.nextAttemptMillis = nowMillis + backoff(target.attemptsSinceStable++)
        }
    }

    /** Records a failed attempt. Removes a target, other than a seed, that was unreachable for too long. */
    @Synchronized
    fun dialFailed(
        target: DialTarget,
        nowMillis: Long,
    ) {
        target.dialInProgress = false
        target.nextAttemptMillis = nowMillis + backoff(target.attemptsSinceStable++)
        if (!target.isSeed && nowMillis - target.lastReachedMillis > limits.unreachableExpiryMillis) {
            targets.remove(target.address)
            target.name?.let { byName.remove(it, target.address) }
        }
    }

    /**
     * Schedules the next attempt after a connection to [name] that lasted [lastedMillis] was lost. Only a stable
     * connection resets the backoff, so that a peer that closes each connection at once isn't dialed in a tight loop.
     */
    @Synchronized
    fun connectionLost(
        name: InstanceName,
        nowMillis: Long,
        lastedMillis: Long,
    ) {
        val target = byName[name]?.let(targets::get) ?: return
        if (lastedMillis >= STABLE_CONNECTION_MILLIS) target.attemptsSinceStable = 0
        target.lastReachedMillis = nowMillis
        target.nextAttemptMillis = nowMillis + backoff(target.attemptsSinceStable)
    }

    private fun backoff(attempts: Int): Long {
        val baseMillis = min(limits.maxBackoffMillis, limits.minBackoffMillis shl min(attempts, MAX_BACKOFF_SHIFT))
        return (baseMillis * random.nextDouble(0.5, 1.5)).toLong()
    }

    private companion object {
        const val MAX_FIRST_JITTER_MILLIS = 50L
        const val HIGHER_NAME_DELAY_MILLIS = 300L
        const val MAX_BACKOFF_SHIFT = 16
        const val STABLE_CONNECTION_MILLIS = 2_000L
    }
}
