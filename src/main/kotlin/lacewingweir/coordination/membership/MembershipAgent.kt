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
import lacewingweir.state.membership.confirmationDivisor
import lacewingweir.state.membership.contradicts
import lacewingweir.state.membership.isNewerThan
import lacewingweir.state.membership.shareDivisor
import lacewingweir.state.time.MonotonicClock
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

/**
 * Keeps this instance a member of the current epoch and proves its contact with the fleet.
 *
 * Heartbeats are sent to all connected peers. A peer acknowledges a heartbeat only if it is at the same epoch. Changes
 * of the epoch are written to the configuration store by compare-and-set and then sent to the peers. The methods of
 * [ContactProof] and [ShareSource] never block.
 *
 * The poller of the store must call [onStoreEntry] for every polled entry under `/lw/` before it calls
 * [recordStoreContact].
 *
 * @param heartbeatPayload supplies the fields of a heartbeat that other components own; called once for each round
 * @param shrinkCheck checked before this instance confirms an epoch
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
    private val epochStore = EpochStore(store)
    private val registration = InstanceRegistration(store) { network.self }
    private val tracker = ContactTracker(clock)
    private val reports = PeerReports()
    private val registeredInstances = ConcurrentHashMap.newKeySet<InstanceName>()
    private val events = MembershipEvent.entries.associateWith { AtomicLong() }
    private val startedMillis = clock.nowMillis()
    private val planner = EpochPlanner(network, reports, registeredInstances, clock, limits, random)
    private val subscriptions = ArrayList<Subscription>()
    private val stateRequestedFrom = HashSet<InstanceName>()

    @Volatile
    private var state = MembershipState()

    @Volatile
    private var leaving = false

    // Guarded by lock.
    private var rounds = HeartbeatRounds()
    private var roundNumber = 0L
    private var lastHeartbeatMillis = startedMillis
    private var observedSinceMillis = startedMillis

    // Accessed only by the task that changes the epoch.
    private var nextVerificationMillis = startedMillis

    private val self: InstanceName get() = network.self.name

    /** Subscribes to peer messages and starts the periodic tasks. */
    public fun start(): MembershipAgent {
        network.subscribe(::onMessage)
        subscriptions += timers.every("epoch heartbeat", limits.heartbeatPeriodMillis) { sendHeartbeats() }
        subscriptions += timers.every("epoch change", limits.heartbeatPeriodMillis) { advanceEpoch() }
        return this
    }

    /** Stops the periodic tasks. The instance stays a member; see [leave]. */
    override fun close() {
        subscriptions.forEach { it.cancel() }
    }

    /**
     * Starts to leave the epoch. Heartbeats continue. The caller should stop the process once [hasLeft] returns true or
     * after a timeout.
     */
    public fun leave() {
        leaving = true
    }

    /** Returns whether this instance knows no epoch, or an active epoch of which it is not a member. */
    public fun hasLeft(): Boolean = state.document?.let { it.phase == EpochPhase.ACTIVE && self !in it.members } ?: true

    override fun ageMillis(): Long {
        val snapshot = state
        return if (snapshot.superseded || snapshot.contradicting != null) Long.MAX_VALUE else tracker.ageMillis()
    }

    override fun current(): BaseShare? {
        val snapshot = state
        if (snapshot.superseded || snapshot.contradicting != null) return null
        val document = snapshot.document ?: return null
        val divisor = document.shareDivisor(self) ?: return null
        return BaseShare(document.epoch, divisor, startsFull(document, snapshot))
    }

    // A run that restarts during the first epoch must not start with full buckets again. This run must therefore have
    // seen that no epoch and no record of its name existed.
    private fun startsFull(
        document: EpochDocument,
        snapshot: MembershipState,
    ): Boolean = document.epoch == 1L && snapshot.epochAbsentSinceMillis != null && registration.hadEarlierRun == false

    /** Returns the epoch document that this instance has adopted, or null if there is none. */
    public fun document(): EpochDocument? = state.document

    /** Returns the peers that sent a heartbeat within [MembershipLimits.failureTimeoutMillis], with the latest one. */
    public fun livePeers(): List<LivePeer> {
        val now = clock.nowMillis()
        return reports.livePeers(now - limits.failureTimeoutMillis, now)
    }

    /** Returns how often [event] has occurred since the start. */
    public fun count(event: MembershipEvent): Long = events.getValue(event).get()

    /**
     * Records a successful poll of the store that was sent at [sentAtMillis].
     *
     * The poll is ignored while the store holds an older epoch than this instance. Such a store may have been restored
     * from an older copy and lack a later epoch.
     */
    public fun recordStoreContact(sentAtMillis: Long) {
        synchronized(lock) {
            if (state.superseded || state.storeBehind) return
            tracker.recordStoreContact(sentAtMillis)
            if (sentAtMillis >= startedMillis) state = state.copy(epochVerified = true)
        }
    }

    /** Handles an entry polled from the store. Ignores the keys of other components. */
    public fun onStoreEntry(entry: StoreEntry) {
        when {
            entry.key == EpochStore.KEY -> {
                val document = EpochStore.decode(entry)
                if (document == null) {
                    logger.error { "epoch: the value of ${entry.key} is not a valid epoch document" }
                } else {
                    mergeDocument(document, fromStore = true)
                }
            }

            entry.key == InstanceRegistration.PREFIX + self -> {
                if (registration.isSupersededBy(entry)) supersede()
            }

            entry.key.startsWith(InstanceRegistration.PREFIX) -> {
                InstanceRegistration.decode(entry)?.let {
                    registeredInstances.add(it.name)
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
        countEvent(MembershipEvent.SUPERSEDED)
        logger.warn { "epoch: a later run of $self has registered; this run owns no share" }
    }

    private fun onMessage(
        from: PeerAddress,
        message: PeerMessage,
    ) {
        when (message) {
            is Heartbeat -> onHeartbeat(from, message)

            is HeartbeatAck -> onAck(from, message)

            is EpochOffer -> mergeDocument(message.document, fromStore = false)

            is PeerAddresses -> message.addresses.forEach(network::addPeer)

            StateRequest -> answerStateRequest(from)

            else -> Unit
        }
    }

    private fun onHeartbeat(
        from: PeerAddress,
        heartbeat: Heartbeat,
    ) {
        reports.record(from, heartbeat, clock.nowMillis())
        val snapshot = state
        val document = snapshot.document ?: return
        if (heartbeat.epoch == document.epoch) {
            if (snapshot.canVote) network.send(from.name, HeartbeatAck(heartbeat.number, document.epoch))
        } else if (heartbeat.epoch < document.epoch && !snapshot.superseded) {
            network.send(from.name, EpochOffer(document))
        }
    }

    private fun onAck(
        from: PeerAddress,
        ack: HeartbeatAck,
    ) {
        synchronized(lock) {
            rounds = rounds.acknowledge(ack.number, ack.epoch, from.name)
            recordMajorityProof()
        }
    }

    // Called with the lock held.
    private fun recordMajorityProof() {
        val document = state.document ?: return
        if (state.superseded) return
        val provenRound = rounds.newestMajorityRound(document) ?: return
        rounds = rounds.discardThrough(provenRound.number)
        if (tracker.recordMajorityContact(provenRound.sentMillis)) countEvent(MembershipEvent.MAJORITY_PROOF)
    }

    private fun answerStateRequest(from: PeerAddress) {
        state.document?.let { network.send(from.name, EpochOffer(it)) }
        network.send(from.name, PeerAddresses(network.connectedPeers() + network.self))
    }

    private fun sendHeartbeats() {
        val now = clock.nowMillis()
        val payload = heartbeatPayload()
        confirmEpoch()
        verifyEpochWithPeers(now)
        val heartbeat =
            synchronized(lock) {
                detectPause(now)
                roundNumber++
                val voter = if (state.canVote) self else null
                rounds = rounds.start(roundNumber, state.epoch, now, voter)
                recordMajorityProof()
                Heartbeat(
                    roundNumber,
                    state.epoch,
                    state.confirmedEpoch,
                    payload.bundle,
                    payload.keyRecords,
                    payload.ready && !leaving && !state.superseded,
                    payload.rateHints,
                )
            }
        val peers = network.connectedPeers()
        peers.forEach { network.send(it.name, heartbeat) }
        requestState(peers, now)
        reports.evictBefore(now - limits.failureTimeoutMillis * REPORT_RETENTION_FACTOR)
    }

    // During a pause this instance received no heartbeats, so the silence of its peers counts only from now on.
    private fun detectPause(nowMillis: Long) {
        if (nowMillis - lastHeartbeatMillis > limits.maxReportAgeMillis) observedSinceMillis = nowMillis
        lastHeartbeatMillis = nowMillis
    }

    private fun requestState(
        peers: List<PeerAddress>,
        nowMillis: Long,
    ) {
        if (stateRequestedFrom.size < INITIAL_STATE_REQUESTS) {
            peers
                .filter { it.name !in stateRequestedFrom }
                .take(INITIAL_STATE_REQUESTS - stateRequestedFrom.size)
                .filter { network.send(it.name, StateRequest) }
                .forEach { stateRequestedFrom += it.name }
        }
        // Heartbeats carry no phase, so an instance that can't read the store asks a peer whether the epoch is active.
        val held = state
        val pendingTooLong =
            held.document?.phase == EpochPhase.PENDING &&
                nowMillis - held.adoptedAtMillis > limits.maxReportAgeMillis
        if (pendingTooLong) peers.randomOrNull(random)?.let { network.send(it.name, StateRequest) }
    }

    /** Confirms the adopted epoch once this instance has reduced its share to it. */
    private fun confirmEpoch() {
        val held = state
        val document = held.document ?: return
        if (held.confirmedEpoch == document.epoch) return
        if (!shrinkCheck.hasShrunkTo(document.confirmationDivisor(self))) return
        synchronized(lock) {
            if (state.document == document) state = state.copy(confirmedEpoch = document.epoch)
        }
    }

    /** Allows a restarted instance that can't read the store to vote once the reports of its peers make that safe. */
    private fun verifyEpochWithPeers(nowMillis: Long) {
        val held = state
        val document = held.document
        if (held.epochVerified || document == null) return
        val byMajority = tracker.majorityAgeMillis() < limits.maxReportAgeMillis
        val uptimeMillis = nowMillis - startedMillis
        if (!EpochDecisions.mayVote(document, self, reports.all(), byMajority, uptimeMillis, nowMillis, limits)) return
        synchronized(lock) {
            if (state.document?.epoch != document.epoch) return
            state = state.copy(epochVerified = true)
        }
        countEvent(MembershipEvent.SETTLED_BY_PEERS)
        logger.info { "epoch: voting at ${document.epoch} without the store, based on the reports of the peers" }
    }

    private fun mergeDocument(
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
                    recordContradiction(document)
                }

                fromStore -> {
                    val behind = document != held
                    if (behind && !state.storeBehind) countEvent(MembershipEvent.STORE_BEHIND)
                    state = state.copy(storeBehind = behind)
                }
            }
        }
        confirmEpoch()
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
                adoptedAtMillis = now,
                contradicting = null,
                removedAtMillis = if (removed) now else state.removedAtMillis,
            )
        logger.info { "epoch: adopted ${document.epoch} ${document.phase} with ${document.members.size} members" }
    }

    // Called with the lock held.
    private fun recordContradiction(document: EpochDocument) {
        if (state.contradicting != null) return
        state = state.copy(contradicting = document)
        countEvent(MembershipEvent.CONTRADICTION)
        logger.error { "epoch: two documents of epoch ${document.epoch} contradict; this instance owns no share" }
    }

    /** Takes the next action that needs the store: registration, verification, write-back, proposal or activation. */
    private suspend fun advanceEpoch() {
        if (state.superseded) return
        if (registration.registeredRevision == null) registration.register()
        val now = clock.nowMillis()
        if (state.document == null || state.storeBehind || now >= nextVerificationMillis) {
            nextVerificationMillis = now + (limits.storeVerificationPeriodMillis * random.nextDouble(0.8, 1.2)).toLong()
            verifyStore()
        }
        planner.nextChange(state, leaving, observedSinceMillis)?.let { applyChange(it) }
    }

    private suspend fun applyChange(change: EpochChange) {
        val stored = epochStore.read() ?: return
        if (stored.document !in change.expected) {
            stored.document?.let { mergeDocument(it, fromStore = true) }
            countEvent(MembershipEvent.RACE_LOST)
        } else if (planner.nextChange(state, leaving, observedSinceMillis)?.document == change.document) {
            // The read may have taken long, for example during a pause, so the reports must still require the change.
            write(stored.modRevision, change.document, change.event)
        }
    }

    /**
     * Reads the epoch, because a poll for changes doesn't show that the entry was lost, and writes the adopted document
     * back if the store is behind.
     */
    private suspend fun verifyStore() {
        val stored = epochStore.read() ?: return
        val document = stored.document
        if (document != null) {
            mergeDocument(document, fromStore = true)
            synchronized(lock) { if (!state.storeBehind) state = state.copy(epochVerified = true) }
        } else {
            synchronized(lock) {
                state =
                    if (state.document == null) {
                        state.copy(epochAbsentSinceMillis = state.epochAbsentSinceMillis ?: clock.nowMillis())
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
        event: MembershipEvent,
    ) {
        when (epochStore.write(modRevision, document)) {
            EpochStore.WriteOutcome.WRITTEN -> {
                onWritten(document, event)
            }

            EpochStore.WriteOutcome.CONFIRMED_BY_READ_BACK -> {
                countEvent(MembershipEvent.ANSWER_SETTLED)
                onWritten(document, event)
            }

            EpochStore.WriteOutcome.CONFLICT -> {
                countEvent(MembershipEvent.RACE_LOST)
                epochStore.read()?.document?.let { mergeDocument(it, fromStore = true) }
            }

            EpochStore.WriteOutcome.FAILED -> {
                logger.debug { "epoch: could not write ${document.epoch}; retrying later" }
            }
        }
    }

    private fun onWritten(
        document: EpochDocument,
        event: MembershipEvent,
    ) {
        countEvent(event)
        logger.info { "epoch: wrote ${document.epoch} ${document.phase} ($event)" }
        mergeDocument(document, fromStore = true)
        network.connectedPeers().forEach { network.send(it.name, EpochOffer(document)) }
    }

    private fun countEvent(event: MembershipEvent) {
        events.getValue(event).incrementAndGet()
    }

    private companion object {
        const val INITIAL_STATE_REQUESTS = 3
        const val REPORT_RETENTION_FACTOR = 6
    }
}
