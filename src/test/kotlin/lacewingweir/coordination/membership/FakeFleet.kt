package lacewingweir.coordination.membership

import lacewingweir.coordination.peer.EpochOffer
import lacewingweir.coordination.peer.PeerAddress
import lacewingweir.coordination.peer.PeerMessage
import lacewingweir.coordination.peer.PeerNetwork
import lacewingweir.coordination.store.ConfigStore
import lacewingweir.coordination.store.StoreEntry
import lacewingweir.coordination.store.StoreListing
import lacewingweir.coordination.store.StoreResult
import lacewingweir.coordination.time.Subscription
import lacewingweir.coordination.time.TimerService
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.Incarnation
import lacewingweir.state.id.InstanceName
import lacewingweir.state.membership.EpochDocument
import lacewingweir.state.membership.MembershipLimits
import lacewingweir.state.time.MonotonicClock
import java.util.PriorityQueue
import kotlin.coroutines.Continuation
import kotlin.coroutines.EmptyCoroutineContext
import kotlin.coroutines.resume
import kotlin.coroutines.startCoroutine
import kotlin.coroutines.suspendCoroutine
import kotlin.random.Random

/**
 * Simulates a fleet of agents with a fake network and a fake store, on one thread and in virtual time.
 *
 * [afterEvent] is called after every event. Events of a paused process are delayed until the pause ends. Events of a
 * stopped process are discarded.
 */
internal class FakeFleet(
    val random: Random,
    val limits: MembershipLimits = MembershipLimits(),
    private val afterEvent: (FakeFleet) -> Unit = {},
) {
    var now = 1_000_000L
        private set
    val processes = LinkedHashMap<InstanceName, Process>()
    val store = FakeStore()
    val counts = HashMap<String, Long>()
    private val cutLinks = HashMap<Pair<InstanceName, InstanceName>, Long>()
    var messageLossUntil = 0L
    var messageDelayUntil = 0L
    var offersLostUntil = 0L
    private var sequence = 0L
    private val queue = PriorityQueue<Event>(compareBy({ it.at }, { it.sequence }))

    private class Event(
        val at: Long,
        val sequence: Long,
        val owner: Process?,
        val action: () -> Unit,
    )

    fun count(name: String) {
        counts.merge(name, 1, Long::plus)
    }

    fun schedule(
        time: Long,
        owner: Process? = null,
        action: () -> Unit,
    ) {
        queue.add(Event(time, sequence++, owner, action))
    }

    fun run(untilMillis: Long) {
        while (queue.isNotEmpty() && queue.peek().at <= untilMillis) {
            val event = queue.poll()
            now = maxOf(now, event.at)
            val owner = event.owner
            when {
                owner == null -> event.action()
                owner.stopped -> Unit
                owner.pausedUntil > now -> queue.add(Event(owner.pausedUntil, event.sequence, owner, event.action))
                else -> event.action()
            }
            afterEvent(this)
        }
        now = untilMillis
    }

    fun runFor(millis: Long) = run(now + millis)

    fun cut(
        from: InstanceName,
        to: InstanceName,
        until: Long,
    ) {
        cutLinks.merge(from to to, until, ::maxOf)
    }

    fun clearFaults() {
        cutLinks.clear()
        messageLossUntil = 0
        messageDelayUntil = 0
        offersLostUntil = 0
        store.downUntil = 0
        store.losingResponsesUntil = 0
        processes.values.forEach { it.storeCutUntil = 0 }
    }

    /** Starts a process and stops the running process of the same name, if any. */
    fun start(name: String): Process {
        val instance = InstanceName(name)
        stop(instance)
        return Process(instance, "$name-${sequence++}").also {
            processes[instance] = it
            it.begin()
        }
    }

    fun stop(name: InstanceName) {
        val previous = processes.remove(name) ?: return
        previous.stopped = true
        MembershipEvent.entries.forEach { counts.merge(it.name, previous.agent.count(it), Long::plus) }
    }

    /** Returns the sum of all shares that can be spent now, in units of 1/[WHOLE_RATE_UNITS]. */
    fun ownedShares(): Long =
        processes.values.filter { it.pausedUntil <= now }.sumOf { process ->
            val share = process.agent.current()
            val valid = process.agent.ageMillis() < limits.authorityMillis
            if (share == null || !valid) 0 else WHOLE_RATE_UNITS / share.divisor
        }

    inner class Process(
        val name: InstanceName,
        incarnation: String,
    ) : PeerNetwork {
        private val offset = random.nextLong(1_000_000)
        private val drift = random.nextDouble(-0.004, 0.004)
        val clock = MonotonicClock { offset + now + (now * drift).toLong() }
        var stopped = false
        var pausedUntil = 0L
        var storeCutUntil = 0L
        var lastPollMillis: Long? = null
        var shrinkBlockedUntil = 0L
        private var pollRevision = 0L
        private val handlers = ArrayList<(PeerAddress, PeerMessage) -> Unit>()
        override val self =
            PeerAddress(name, Incarnation(incarnation), "127.0.0.1", 1, 2, FailureDomain("amman"))
        val agent =
            MembershipAgent(
                this,
                StoreClient(this),
                Timers(this),
                clock,
                { HeartbeatPayload(ready = true) },
                { now >= shrinkBlockedUntil },
                limits,
                random,
            )

        fun begin() {
            agent.start()
            Timers(this).every("poll", 1_000) { poll() }
        }

        private suspend fun poll() {
            val sent = clock.nowMillis()
            val listing = StoreClient(this).list("/lw/", pollRevision)
            if (listing !is StoreResult.Ok) return
            if (listing.value.revision < pollRevision) {
                pollRevision = 0
                return
            }
            pollRevision = listing.value.revision
            listing.value.entries.forEach(agent::onStoreEntry)
            agent.recordStoreContact(sent)
            lastPollMillis = sent
        }

        fun pause(millis: Long) {
            pausedUntil = now + millis
            schedule(pausedUntil) { }
        }

        override fun connectedPeers() = processes.values.filter { it !== this }.map { it.self }

        override fun addPeer(address: PeerAddress) = Unit

        override fun send(
            to: InstanceName,
            message: PeerMessage,
        ): Boolean {
            val target = processes[to] ?: return false
            val lost = now < messageLossUntil && random.nextInt(4) == 0
            if (message is EpochOffer && now < offersLostUntil) return true
            if (lost || now < (cutLinks[name to to] ?: 0)) return true
            val delay =
                if (now < messageDelayUntil &&
                    random.nextInt(3) == 0
                ) {
                    random.nextLong(4_000)
                } else {
                    random.nextLong(1, 40)
                }
            schedule(now + delay, target) { target.handlers.forEach { it(self, message) } }
            return true
        }

        override fun subscribe(handler: (from: PeerAddress, message: PeerMessage) -> Unit) {
            handlers.add(handler)
        }
    }

    inner class Timers(
        private val owner: Process,
    ) : TimerService {
        override fun every(
            name: String,
            periodMillis: Long,
            jitter: Double,
            task: suspend () -> Unit,
        ): Subscription {
            var active = true

            fun next() {
                val delay = (periodMillis * (1 + random.nextDouble(-jitter, jitter))).toLong()
                schedule(now + delay, owner) {
                    if (active) {
                        task.startCoroutine(
                            Continuation(EmptyCoroutineContext) { result ->
                                result.getOrThrow()
                                next()
                            },
                        )
                    }
                }
            }
            next()
            return Subscription { active = false }
        }

        override fun after(
            name: String,
            delayMillis: Long,
            task: suspend () -> Unit,
        ): Subscription = error("not used")
    }

    /**
     * The store that all processes share. While it loses responses, a call can return [StoreResult.Unknown], and its
     * operation may be applied late or not at all.
     */
    inner class FakeStore {
        val entries = LinkedHashMap<String, StoreEntry>()
        var revision = 1L
        var downUntil = 0L
        var losingResponsesUntil = 0L

        fun write(
            key: String,
            expected: Long,
            value: ByteArray,
        ): Boolean {
            if ((entries[key]?.modRevision ?: 0) != expected) return false
            entries[key] = StoreEntry(key, value, ++revision)
            return true
        }

        fun epoch(): EpochDocument? = entries[EpochStore.KEY]?.let(EpochStore::decode)
    }

    inner class StoreClient(
        private val owner: Process,
    ) : ConfigStore {
        private suspend fun <T> call(operation: () -> T): StoreResult<T> =
            suspendCoroutine { continuation ->
                fun respond(
                    after: Long,
                    result: StoreResult<T>,
                ) = schedule(now + after, owner) { continuation.resume(result) }
                if (now < store.downUntil || now < owner.storeCutUntil) {
                    respond(300, StoreResult.Unavailable("down"))
                } else {
                    val loseResponse = now < store.losingResponsesUntil && random.nextInt(3) == 0
                    if (loseResponse) respond(500, StoreResult.Unknown("no answer"))
                    val latency = if (loseResponse) random.nextLong(2_000) else random.nextLong(1, 20)
                    if (!loseResponse || random.nextBoolean()) {
                        schedule(now + latency) {
                            val value = operation()
                            if (!loseResponse) respond(random.nextLong(1, 20), StoreResult.Ok(value))
                        }
                    }
                }
            }

        override suspend fun get(key: String) = call { store.entries[key] }

        override suspend fun list(
            prefix: String,
            sinceRevision: Long,
        ) = call {
            val changed = store.entries.values.filter { it.key.startsWith(prefix) && it.modRevision > sinceRevision }
            StoreListing(changed, store.revision)
        }

        override suspend fun compareAndSet(
            key: String,
            expectedModRevision: Long,
            value: ByteArray,
            leaseId: Long?,
        ) = call { store.write(key, expectedModRevision, value) }

        override suspend fun grantLease(ttlSeconds: Long): StoreResult<Long> = error("not used")
    }

    companion object {
        /** The sum of all shares of a rate in the unit of [ownedShares]. Divisible by all divisors up to 16. */
        const val WHOLE_RATE_UNITS: Long = 720_720
    }
}
