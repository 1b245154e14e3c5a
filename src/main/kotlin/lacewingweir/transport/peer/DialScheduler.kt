package lacewingweir.transport.peer

import lacewingweir.coordination.peer.PeerAddress
import lacewingweir.state.id.InstanceName
import kotlin.math.min
import kotlin.random.Random

/** The addresses to dial, with backoff for those that can't be reached. */
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
     * Adds the address of a named peer. An instance that moved replaces its former address.
     *
     * The peer with the higher name waits a little, so that a pair that learns of each other at the same time mostly
     * opens one connection.
     */
    @Synchronized
    fun add(
        peer: PeerAddress,
        nowMillis: Long,
    ) {
        if (peer.name == selfName) return
        val address = HostPort(peer.host, peer.peerPort)
        val former = byName[peer.name]
        if (former == address) return
        if (former == null && targets.size >= limits.maxKnownAddresses) return
        if (former != null) removeName(peer.name, former)
        byName[peer.name] = address
        val target =
            targets.getOrPut(address) {
                val wait = if (selfName.value < peer.name.value) 0L else HIGHER_NAME_WAIT_MILLIS
                val first = nowMillis + wait + random.nextLong(FIRST_JITTER_MILLIS)
                DialTarget(address, false, null, first, nowMillis)
            }
        target.name = peer.name
    }

    private fun removeName(
        name: InstanceName,
        address: HostPort,
    ) {
        byName.remove(name)
        val target = targets[address] ?: return
        if (target.name != name) return
        if (target.isSeed) target.name = null else targets.remove(address)
    }

    /** Takes the targets that are due and whose instance is not [connected]; each must be settled. */
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

    /** Notes that [target] answered as [name]; for the instance itself it is not dialed again. */
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
     * Schedules the next attempt after a connection to [name] was lost. Only a connection that lasted resets the
     * backoff, so that a peer that accepts and closes at once is not dialed in a tight loop.
     */
    @Synchronized
    fun connectionLost(
        name: InstanceName,
        nowMillis: Long,
        lastedMillis: Long,
    ) {
        val target = byName[name]?.let(targets::get) ?: return
        if (lastedMillis >= STABLE_MILLIS) target.attemptsSinceStable = 0
        target.lastReachedMillis = nowMillis
        target.nextAttemptMillis = nowMillis + backoff(target.attemptsSinceStable)
    }

    private fun backoff(attempts: Int): Long {
        val base = min(limits.maxBackoffMillis, limits.minBackoffMillis shl min(attempts, MAX_SHIFT))
        return (base * random.nextDouble(0.5, 1.5)).toLong()
    }

    private companion object {
        const val FIRST_JITTER_MILLIS = 50L
        const val HIGHER_NAME_WAIT_MILLIS = 300L
        const val MAX_SHIFT = 16
        const val STABLE_MILLIS = 2_000L
    }
}
