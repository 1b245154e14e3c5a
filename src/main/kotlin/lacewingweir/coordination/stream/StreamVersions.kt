/**
 * Remembers at which software version each stream began, so that it goes on there.
 *
 * Each instance remembers its own streams. While a service has endpoints of several versions, or had them lately, the
 * version of each new stream is also told to a few peers, because the instance of a stream that its caller takes up may
 * have ended, and to others that write it to the store, because all of them may.
 *
 * A stream that an instance doesn't know began at the only version that the service has had, if there was only one.
 * What the instance last saw is no proof of that: a version may have come, begun the stream and gone since then. The
 * view is therefore proved again when the caller takes the stream up. An instance that can't do so, because the store
 * ignores it, asks its peers, which do the same. If none of them knows the stream or can prove that there was one
 * version, it can't go on.
 */
package lacewingweir.coordination.stream

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import lacewingweir.coordination.fleet.FleetSnapshot
import lacewingweir.coordination.gossip.DigestNetwork
import lacewingweir.coordination.gossip.PeerDatagram
import lacewingweir.coordination.gossip.StreamFact
import lacewingweir.coordination.gossip.StreamMessage
import lacewingweir.coordination.gossip.StreamQuestion
import lacewingweir.coordination.time.TimerService
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.fleet.PeerEntry
import lacewingweir.state.id.RequestId
import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.StreamTag
import lacewingweir.state.stream.ServedVersion
import lacewingweir.state.stream.StreamOrigin
import lacewingweir.state.stream.StreamOrigins
import lacewingweir.state.stream.VersionHistory
import lacewingweir.state.stream.factHolders
import lacewingweir.state.stream.factWriters
import lacewingweir.state.time.MonotonicClock
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

private val logger = KotlinLogging.logger {}

/** What was counted since the start: questions to peers, streams that went on, and streams that couldn't. */
internal data class StreamFigures(
    val asked: Long,
    val continued: Long,
    val refused: Long,
)

/**
 * @property self the name of this instance
 * @property fleet returns the current snapshot
 * @property viewAgeMillis returns how old the snapshot may be, in milliseconds
 * @property unixMillis returns the time of day
 * @property toStore writes to the store where streams began
 * @property provesView brings the snapshot up to date, and returns whether it has all changes up to the call
 */
internal class StreamVersions(
    private val self: String,
    private val clock: MonotonicClock,
    private val scope: CoroutineScope,
    private val network: DigestNetwork,
    private val fleet: () -> FleetSnapshot,
    private val viewAgeMillis: () -> Long,
    private val unixMillis: () -> Long = System::currentTimeMillis,
    private val toStore: (Map<RequestId, StreamOrigin>) -> Unit = {},
    private val provesView: suspend () -> Boolean,
) {
    /** Collects the answers of peers. [origin] is completed by a peer that knows the stream, or by the last answer. */
    private class Question(
        private val expectedAnswers: Int,
    ) {
        val origin = CompletableDeferred<StreamOrigin?>()
        private val answered = HashSet<String>()
        private var inferred: StreamOrigin? = null
        private var contradicted = false

        @Synchronized
        fun onInferred(
            peer: String,
            answer: StreamOrigin,
        ) {
            if (inferred != null && inferred != answer) contradicted = true
            inferred = answer
            onAnswer(peer)
        }

        @Synchronized
        fun onUnknown(
            peer: String,
            contradicts: Boolean,
        ) {
            if (contradicts) contradicted = true
            onAnswer(peer)
        }

        /** Returns what the answers so far agree on. */
        @Synchronized
        fun agreed(): StreamOrigin? = inferred.takeUnless { contradicted }

        private fun onAnswer(peer: String) {
            answered += peer
            if (answered.size >= expectedAnswers) origin.complete(agreed())
        }
    }

    private val origins = StreamOrigins<RequestId>(RETENTION_MILLIS, MAX_ORIGINS)
    private val storedOrigins = StreamOrigins<StreamTag>(RETENTION_MILLIS, MAX_STORED_ORIGINS)
    private val history = VersionHistory(RETENTION_MILLIS)
    private val questions = ConcurrentHashMap<RequestId, Question>()
    private var severalVersions: Set<ServiceName> = emptySet()
    private var listings = 0
    private val asked = LongAdder()
    private val continued = LongAdder()
    private val refused = LongAdder()

    val figures: StreamFigures
        get() = StreamFigures(asked.sum(), continued.sum(), refused.sum())

    fun start(timers: TimerService) {
        timers.every("version history", GAP_CHECK_MILLIS) {
            if (viewAgeMillis() > MAX_VIEW_AGE_MILLIS) synchronized(this) { history.onGap(clock.nowMillis()) }
        }
    }

    /** Applies a new snapshot of the fleet. */
    fun onFleet(snapshot: FleetSnapshot) {
        val facts =
            synchronized(this) {
                val now = clock.nowMillis()
                if (listings != 0 && snapshot.listings != listings) history.onGap(now)
                listings = snapshot.listings
                if (snapshot.passedEndpoints.isNotEmpty()) {
                    history.onEndpoints(snapshot.endpoints.values + snapshot.passedEndpoints, now)
                }
                history.onEndpoints(snapshot.endpoints.values, now)
                history.onRecord(snapshot.servedVersions.versions, now, unixMillis())
                val services = snapshot.endpoints.values.mapTo(HashSet()) { it.service }
                val several = services.filterTo(HashSet()) { history.recent(it, now).size > 1 }
                val added = several - severalVersions
                severalVersions = several
                if (added.isEmpty()) return
                logger.info { "streams: several software versions services=$added" }
                origins.filter { it.service in added }
            }
        // Streams that run already may end at an instance that knows their version alone.
        replicate(facts)
    }

    /**
     * Returns what the record of served versions in the store should have, or null if it needn't be written. An old
     * view is no reason to write it.
     */
    fun recordToStore(): Set<ServedVersion>? {
        if (viewAgeMillis() > MAX_VIEW_AGE_MILLIS) return null
        return synchronized(this) { history.recordToStore(clock.nowMillis(), unixMillis()) }
    }

    /** Records that the stream begun by [call] brings its first event, from [endpoint]. */
    fun onBegun(
        call: RequestId,
        endpoint: EndpointEntry,
    ) {
        val origin = StreamOrigin(endpoint.service, endpoint.software)
        val needed =
            synchronized(this) {
                val now = clock.nowMillis()
                origins.put(call, origin, now)
                history.recent(endpoint.service, now).size > 1
            }
        if (needed) replicate(mapOf(call to origin))
    }

    private fun replicate(facts: Map<RequestId, StreamOrigin>) {
        if (facts.isEmpty()) return
        val peers = peers()
        tell(facts, toStore = false) { factHolders(it, peers, HOLDERS) }
        val writers = factWriters(fleet().peers.values)
        // An instance may not be listed yet, nor know any that is.
        if (writers.isEmpty()) toStore(facts) else tell(facts, toStore = true) { factHolders(it, writers, WRITERS) }
    }

    private fun tell(
        facts: Map<RequestId, StreamOrigin>,
        toStore: Boolean,
        receivers: (RequestId) -> List<PeerEntry>,
    ) {
        val byReceiver =
            facts.entries
                .flatMap { fact -> receivers(fact.key).map { it to fact } }
                .groupBy({ it.first }, { it.second })
        for ((receiver, told) in byReceiver) {
            if (receiver.name == self) {
                toStore(told.associate { it.key to it.value })
                continue
            }
            val messages =
                told
                    .map { (call, origin) -> StreamFact(call, origin.service, origin.software) }
                    .chunked(MAX_FACTS)
                    .map { StreamMessage(self, facts = it, toStore = toStore) }
            scope.launch { messages.forEach { send(listOf(receiver), it) } }
        }
    }

    /** Applies what the store tells of streams that began lately. */
    fun onStored(streams: Map<StreamOrigin, List<StreamTag>>) =
        synchronized(this) {
            val now = clock.nowMillis()
            for ((origin, tags) in streams) tags.forEach { storedOrigins.put(it, origin, now) }
        }

    /**
     * Returns where the stream begun by [call] began, which its caller takes up on a route to [service]. Returns null
     * if that can't be found out.
     */
    suspend fun originOf(
        call: RequestId?,
        service: ServiceName,
    ): StreamOrigin? {
        val origin = known(call, service) ?: call?.let { ask(it, service) ?: remembered(it) }
        if (origin?.software == null) {
            refused.increment()
            logger.info { "streams: version unknown call=$call service=$service viewAgeMs=${viewAgeMillis()}" }
            return null
        }
        continued.increment()
        return origin
    }

    /** Counts a stream that can't go on because no endpoint has its version. */
    fun recordRefusal() = refused.increment()

    private suspend fun known(
        call: RequestId?,
        service: ServiceName,
    ): StreamOrigin? {
        call?.let(::remembered)?.let { return it }
        val isProved = viewAgeMillis() <= MAX_VIEW_AGE_MILLIS && provesView()
        return call?.let(::remembered) ?: if (isProved) inferred(service) else null
    }

    private fun remembered(call: RequestId): StreamOrigin? =
        synchronized(this) { origins[call] ?: storedOrigins[StreamTag.of(call)] }

    /** Must be called with a view that has just been proved. */
    private fun inferred(service: ServiceName): StreamOrigin? {
        val only = synchronized(this) { history.onlyVersion(service, clock.nowMillis(), unixMillis()) }
        return only?.let { StreamOrigin(service, it) }
    }

    private fun recentVersions(service: ServiceName) = synchronized(this) { history.recent(service, clock.nowMillis()) }

    private suspend fun ask(
        call: RequestId,
        service: ServiceName,
    ): StreamOrigin? {
        val peers = peers()
        if (peers.isEmpty()) return null
        asked.increment()
        val question = questions.computeIfAbsent(call) { Question(peers.size) }
        try {
            send(peers, StreamMessage(self, question = StreamQuestion(call, service)))
            return withTimeoutOrNull(ANSWER_TIMEOUT_MILLIS) { question.origin.await() } ?: question.agreed()
        } finally {
            questions.remove(call, question)
        }
    }

    /** Applies a message of a peer. */
    fun onMessage(message: StreamMessage) {
        message.facts.forEach { onFact(message.instance, it) }
        if (message.toStore) toStore(message.facts.associate { it.call to StreamOrigin(it.service, it.software) })
        message.unknown?.let { questions[it]?.onUnknown(message.instance, message.severalVersions) }
        message.question?.let { answer(message.instance, it) }
    }

    private fun onFact(
        instance: String,
        fact: StreamFact,
    ) {
        val origin = StreamOrigin(fact.service, fact.software)
        if (!fact.inferred) synchronized(this) { origins.put(fact.call, origin, clock.nowMillis()) }
        val question = questions[fact.call] ?: return
        when {
            !fact.inferred -> question.origin.complete(origin)
            // The peer may not have seen all versions that this instance knows of.
            recentVersions(fact.service).any { it != fact.software } ->
                question.onUnknown(instance, contradicts = true)
            else -> question.onInferred(instance, origin)
        }
    }

    private fun answer(
        instance: String,
        question: StreamQuestion,
    ) {
        val peer = fleet().peers[instance] ?: return
        scope.launch {
            val origin = known(question.call, question.service)
            val isInferred = remembered(question.call) == null
            val facts = origin?.let { listOf(StreamFact(question.call, it.service, it.software, isInferred)) }
            val message =
                StreamMessage(
                    self,
                    facts = facts.orEmpty(),
                    unknown = question.call.takeIf { origin == null },
                    severalVersions = recentVersions(question.service).size > 1,
                )
            send(listOf(peer), message)
        }
    }

    private suspend fun send(
        peers: List<PeerEntry>,
        message: StreamMessage,
    ) {
        network.send(PeerDatagram(streamMessage = message), peers.map { it.host to it.port })
    }

    private fun peers(): List<PeerEntry> = fleet().peers.values.filter { it.name != self }

    private companion object {
        /** Longer than the deadlines of callers, within which they take up a stream. */
        const val RETENTION_MILLIS: Long = 30_000

        /** Peers that remember a stream besides its instance. */
        const val HOLDERS: Int = 3

        /** Instances that write a stream to the store. */
        const val WRITERS: Int = 2

        /** Limits memory to about two megabytes. */
        const val MAX_ORIGINS: Int = 8_192

        /** Limits memory to about ten megabytes. */
        const val MAX_STORED_ORIGINS: Int = 100_000

        /** Facts in one datagram, which fits in one packet. */
        const val MAX_FACTS: Int = 20

        /** Time for peers to prove their views, several round trips, and time for instances that are busy. */
        const val ANSWER_TIMEOUT_MILLIS: Long = 700

        /** Exceeds the wait of a watch call, after which the store confirms that nothing has changed. */
        const val MAX_VIEW_AGE_MILLIS: Long = 2_500
        const val GAP_CHECK_MILLIS: Long = 500
    }
}
