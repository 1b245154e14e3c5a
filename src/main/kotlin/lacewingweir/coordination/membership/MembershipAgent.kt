package lacewingweir.coordination.membership

import io.github.oshai.kotlinlogging.KotlinLogging
import lacewingweir.coordination.peer.EpochOffer
import lacewingweir.coordination.peer.Heartbeat
import lacewingweir.coordination.peer.HeartbeatAck
import lacewingweir.coordination.peer.PeerAddress
import lacewingweir.coordination.peer.PeerAddresses
import lacewingweir.coordination.peer.PeerMessage
import lacewingweir.coordination.peer.PeerNetwork
import lacewingweir.coordination.peer.StateRequest
import lacewingweir.coordination.store.ConfigStore
import lacewingweir.coordination.store.StoreEntry
import lacewingweir.coordination.time.Subscription
import lacewingweir.coordination.time.TimerService
import lacewingweir.state.id.InstanceName
import lacewingweir.state.membership.EpochDecisions
import lacewingweir.state.membership.EpochDocument
import lacewingweir.state.membership.EpochPhase
import lacewingweir.state.membership.HeartbeatRounds
import lacewingweir.state.membership.MembershipLimits
import lacewingweir.state.membership.contradicts
import lacewingweir.state.membership.divisorToConfirm
import lacewingweir.state.membership.isNewerThan
import lacewingweir.state.membership.ownedDivisor
import lacewingweir.state.time.MonotonicClock
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

/**
 * Keeps this instance in the membership epoch and proves its contact; see sections 5.2 and 5.3 of the design.
 *
 * Heartbeats go to all connected peers and are acknowledged only by those at the same epoch. Changes of the epoch are
 * written to the store by compare-and-set and spread between peers. The [ContactProof] and [ShareSource] never block.
 *
 * The poller of the store calls [onStoreEntry] for every polled entry under `/lw/` and only then [recordStoreContact].
 *
 * @param facts gives what other parts contribute to a heartbeat; called once for each round
 * @param shrinkCheck is asked before an epoch is confirmed
 */
public class MembershipAgent(
    private val network: PeerNetwork,
    store: ConfigStore,
    private val timers: TimerService,
    private val clock: MonotonicClock,
    private val heartbeatPayload: () -> HeartbeatPayload,
    private val shrinkCheck: ShrinkCheck,
    private val limits: MembershipLimits = MembershipLimits(),
    private val random: Random = Random.Default,
) : ContactProof,
    ShareSource,
    AutoCloseable {
    private val lock = Any()
    private val register = EpochRegister(store)
    private val instances = InstanceRegister(store) { network.self }
    private val tracker = ContactTracker(clock)
    private val reports = PeerReports()
    private val recorded = ConcurrentHashMap.newKeySet<InstanceName>()
    private val events = MembershipEvent.entries.associateWith { AtomicLong() }
    private val startedMillis = clock.nowMillis()
    private val planner = EpochPlanner(network, reports, recorded, clock, limits, random)
    private val subscriptions = ArrayList<Subscription>()
    private val askedForState = HashSet<InstanceName>()

    @Volatile
    private var state = MembershipState()

    @Volatile
    private var leaving = false

    // Guarded by lock.
    private var rounds = HeartbeatRounds()
    private var roundNumber = 0L
    private var lastBeatMillis = startedMillis
    private var watchedSinceMillis = startedMillis

    // Used only by the task that changes the epoch.
    private var nextVerifyMillis = startedMillis

    private val self: InstanceName get() = network.self.name

    /** Subscribes to messages and starts the periodic tasks. */
    public fun start(): MembershipAgent {
        network.subscribe(::onMessage)
        subscriptions += timers.every("epoch heartbeat", limits.heartbeatMillis) { beat() }
        subscriptions += timers.every("epoch change", limits.heartbeatMillis) { advance() }
        return this
    }

    /** Stops the periodic tasks. The instance stays a member; see [leave]. */
    override fun close() {
        subscriptions.forEach { it.cancel() }
    }

    /** Starts to leave the epoch. Heartbeats go on; stop the process once [hasLeft] is true or patience ends. */
    public fun leave() {
        leaving = true
    }

    /** Whether this instance owns nothing and no active epoch counts on it. */
    public fun hasLeft(): Boolean = state.document?.let { it.phase == EpochPhase.ACTIVE && self !in it.members } ?: true

    override fun ageMillis(): Long {
        val now = state
        return if (now.superseded || now.contradicting != null) Long.MAX_VALUE else tracker.ageMillis()
    }

    override fun current(): BaseShare? {
        val now = state
        if (now.superseded || now.contradicting != null) return null
        val document = now.document ?: return null
        val divisor = document.ownedDivisor(self) ?: return null
        return BaseShare(document.epoch, divisor, startsFull(document, now))
    }

    // A successor in the first epoch must not start full again, so the own run must have seen that no epoch existed
    // and no record of the own name.
    private fun startsFull(
        document: EpochDocument,
        now: MembershipState,
    ): Boolean = document.epoch == 1L && now.absentSinceMillis != null && instances.hadPredecessor == false

    /** The epoch document that this instance has adopted, or null. */
    public fun document(): EpochDocument? = state.document

    /** The peers heard within the silence limit, with their last heartbeats. */
    public fun livePeers(): List<LivePeer> {
        val now = clock.nowMillis()
        return reports.since(now - limits.silenceMillis, now)
    }

    /** How often [event] has happened since the start. */
    public fun count(event: MembershipEvent): Long = events.getValue(event).get()

    /**
     * Notes a successful poll of the store that was sent at [sentAtMillis]. Not a proof while the store holds an
     * older epoch than this instance, because a restored store may hide a later one.
     */
    public fun recordStoreContact(sentAtMillis: Long) {
        synchronized(lock) {
            if (state.superseded || state.storeBehind) return
            tracker.recordStoreContact(sentAtMillis)
            if (sentAtMillis >= startedMillis) state = state.copy(settled = true)
        }
    }

    /** Takes an entry polled from the store. Keys of other parts are ignored. */
    public fun onStoreEntry(entry: StoreEntry) {
        when {
            entry.key == EpochRegister.KEY -> {
                val document = EpochRegister.decode(entry)
                if (document == null) {
                    logger.error { "epoch: ${entry.key} is not a valid document" }
                } else {
                    consider(document, fromStore = true)
                }
            }

            entry.key == InstanceRegister.PREFIX + self -> {
                if (instances.observeOwn(entry)) supersede()
            }

            entry.key.startsWith(InstanceRegister.PREFIX) -> {
                InstanceRegister.decode(entry)?.let {
                    recorded.add(it.name)
                    network.addPeer(it)
                }
            }
        }
    }

    private fun supersede() {
        synchronized(lock) {
            if (state.superseded) return
            state = state.copy(superseded = true)
        }
        event(MembershipEvent.SUPERSEDED)
        logger.warn { "epoch: a later run of $self has registered; this one owns nothing" }
    }

    private fun onMessage(
        from: PeerAddress,
        message: PeerMessage,
    ) {
        when (message) {
            is Heartbeat -> onHeartbeat(from, message)

            is HeartbeatAck -> onAck(from, message)

            is EpochOffer -> consider(message.document, fromStore = false)

            is PeerAddresses -> message.addresses.forEach(network::addPeer)

            StateRequest -> answerStateRequest(from)

            else -> Unit
        }
    }

    private fun onHeartbeat(
        from: PeerAddress,
        heartbeat: Heartbeat,
    ) {
        reports.take(from, heartbeat, clock.nowMillis())
        val now = state
        val document = now.document ?: return
        if (heartbeat.epoch == document.epoch) {
            if (now.votes) network.send(from.name, HeartbeatAck(heartbeat.number, document.epoch))
        } else if (heartbeat.epoch < document.epoch && !now.superseded) {
            network.send(from.name, EpochOffer(document))
        }
    }

    private fun onAck(
        from: PeerAddress,
        ack: HeartbeatAck,
    ) {
        synchronized(lock) {
            rounds = rounds.acknowledge(ack.number, ack.epoch, from.name)
            takeMajorityProof()
        }
    }

    // Called with the lock held.
    private fun takeMajorityProof() {
        val document = state.document ?: return
        if (state.superseded) return
        val proven = rounds.newestMajorityRound(document) ?: return
        rounds = rounds.discardThrough(proven.number)
        if (tracker.recordMajorityContact(proven.sentMillis)) event(MembershipEvent.MAJORITY_PROOF)
    }

    private fun answerStateRequest(from: PeerAddress) {
        state.document?.let { network.send(from.name, EpochOffer(it)) }
        network.send(from.name, PeerAddresses(network.connectedPeers() + network.self))
    }

    private fun beat() {
        val now = clock.nowMillis()
        val current = heartbeatPayload()
        confirm()
        settleByPeers(now)
        val heartbeat =
            synchronized(lock) {
                noteGap(now)
                roundNumber++
                val voter = if (state.votes) self else null
                rounds = rounds.start(roundNumber, state.epoch, now, voter)
                takeMajorityProof()
                Heartbeat(
                    roundNumber,
                    state.epoch,
                    state.confirmedEpoch,
                    current.bundle,
                    current.keyRecords,
                    current.ready && !leaving && !state.superseded,
                    current.rateHints,
                )
            }
        val peers = network.connectedPeers()
        peers.forEach { network.send(it.name, heartbeat) }
        askForState(peers, now)
        reports.dropBefore(now - limits.silenceMillis * REPORT_KEEP_FACTOR)
    }

    // After a pause of its own, an instance has not watched the others for their silence to mean anything.
    private fun noteGap(nowMillis: Long) {
        if (nowMillis - lastBeatMillis > limits.freshMillis) watchedSinceMillis = nowMillis
        lastBeatMillis = nowMillis
    }

    private fun askForState(
        peers: List<PeerAddress>,
        nowMillis: Long,
    ) {
        if (askedForState.size < STATE_REQUESTS) {
            peers
                .filter { it.name !in askedForState }
                .take(STATE_REQUESTS - askedForState.size)
                .filter { network.send(it.name, StateRequest) }
                .forEach { askedForState += it.name }
        }
        // Heartbeats carry no phase, so an instance without the store asks whether a pending epoch became active.
        val held = state
        val stuck = held.document?.phase == EpochPhase.PENDING && nowMillis - held.adoptedMillis > limits.freshMillis
        if (stuck) peers.randomOrNull(random)?.let { network.send(it.name, StateRequest) }
    }

    /** Confirms the held epoch once the rate part has shrunk to it. */
    private fun confirm() {
        val held = state
        val document = held.document ?: return
        if (held.confirmedEpoch == document.epoch) return
        if (!shrinkCheck.hasShrunkTo(document.divisorToConfirm(self))) return
        synchronized(lock) {
            if (state.document == document) state = state.copy(confirmedEpoch = document.epoch)
        }
    }

    /** Lets a restarted instance vote although it can't read the store, once the peers' answers make that safe. */
    private fun settleByPeers(nowMillis: Long) {
        val held = state
        val document = held.document
        if (held.settled || document == null) return
        val byMajority = tracker.majorityAgeMillis() < limits.freshMillis
        val ranMillis = nowMillis - startedMillis
        if (!EpochDecisions.mayVote(document, self, reports.all(), byMajority, ranMillis, nowMillis, limits)) return
        synchronized(lock) {
            if (state.document?.epoch != document.epoch) return
            state = state.copy(settled = true)
        }
        event(MembershipEvent.SETTLED_BY_PEERS)
        logger.info { "epoch: votes at ${document.epoch} without the store, after the peers' answers" }
    }

    private fun consider(
        document: EpochDocument,
        fromStore: Boolean,
    ) {
        synchronized(lock) {
            val held = state.document
            when {
                document.isNewerThan(held) -> {
                    adopt(document)
                    if (fromStore) state = state.copy(storeBehind = false)
                }

                held != null && document.contradicts(held) -> {
                    noteContradiction(document)
                }

                fromStore -> {
                    val behind = document != held
                    if (behind && !state.storeBehind) event(MembershipEvent.STORE_BEHIND)
                    state = state.copy(storeBehind = behind)
                }
            }
        }
        confirm()
    }

    // Called with the lock held.
    private fun adopt(document: EpochDocument) {
        val held = state.document
        val now = clock.nowMillis()
        val removed = held != null && self in held.members && self !in document.members
        if (held?.epoch != document.epoch) rounds = HeartbeatRounds()
        state =
            state.copy(
                document = document,
                adoptedMillis = now,
                contradicting = null,
                removedMillis = if (removed) now else state.removedMillis,
            )
        logger.info { "epoch: adopted ${document.epoch} ${document.phase} with ${document.members.size} members" }
    }

    // Called with the lock held.
    private fun noteContradiction(document: EpochDocument) {
        if (state.contradicting != null) return
        state = state.copy(contradicting = document)
        event(MembershipEvent.CONTRADICTION)
        logger.error { "epoch: two documents of epoch ${document.epoch} contradict each other; owning nothing" }
    }

    /** Does what the store needs next: registration, write-back, proposal or activation. */
    private suspend fun advance() {
        if (state.superseded) return
        if (instances.registeredRevision == null) instances.register()
        val now = clock.nowMillis()
        if (state.document == null || state.storeBehind || now >= nextVerifyMillis) {
            nextVerifyMillis = now + (limits.verifyStoreMillis * random.nextDouble(0.8, 1.2)).toLong()
            verifyStore()
        }
        planner.nextStep(state, leaving, watchedSinceMillis)?.let { perform(it) }
    }

    private suspend fun perform(step: EpochStep) {
        val stored = register.read() ?: return
        if (stored.document !in step.bases) {
            stored.document?.let { consider(it, fromStore = true) }
            event(MembershipEvent.RACE_LOST)
        } else if (planner.nextStep(state, leaving, watchedSinceMillis)?.document == step.document) {
            // The store's answer may have taken long, for example during a pause; the reports still support the step.
            write(stored.modRevision, step.document, step.event)
        }
    }

    /** Reads the epoch, because a poll of changes doesn't show that it was lost, and writes a newer one back. */
    private suspend fun verifyStore() {
        val stored = register.read() ?: return
        val document = stored.document
        if (document != null) {
            consider(document, fromStore = true)
            synchronized(lock) { if (!state.storeBehind) state = state.copy(settled = true) }
        } else {
            synchronized(lock) {
                state =
                    if (state.document == null) {
                        state.copy(absentSinceMillis = state.absentSinceMillis ?: clock.nowMillis())
                    } else {
                        state.copy(storeBehind = true)
                    }
            }
        }
        val held = state.document
        if (state.storeBehind && held != null) write(stored.modRevision, held, MembershipEvent.WRITTEN_BACK)
    }

    private suspend fun write(
        modRevision: Long,
        document: EpochDocument,
        kind: MembershipEvent,
    ) {
        when (register.write(modRevision, document)) {
            EpochRegister.WriteOutcome.WRITTEN -> {
                written(document, kind)
            }

            EpochRegister.WriteOutcome.WRITTEN_READ_BACK -> {
                event(MembershipEvent.ANSWER_SETTLED)
                written(document, kind)
            }

            EpochRegister.WriteOutcome.CONFLICT -> {
                event(MembershipEvent.RACE_LOST)
                register.read()?.document?.let { consider(it, fromStore = true) }
            }

            EpochRegister.WriteOutcome.FAILED -> {
                logger.debug { "epoch: ${document.epoch} could not be written; trying again later" }
            }
        }
    }

    private fun written(
        document: EpochDocument,
        kind: MembershipEvent,
    ) {
        event(kind)
        logger.info { "epoch: wrote ${document.epoch} ${document.phase} ($kind)" }
        consider(document, fromStore = true)
        network.connectedPeers().forEach { network.send(it.name, EpochOffer(document)) }
    }

    private fun event(event: MembershipEvent) {
        events.getValue(event).incrementAndGet()
    }

    private companion object {
        const val STATE_REQUESTS = 3
        const val REPORT_KEEP_FACTOR = 6
    }
}
