/**
 * Keeps calls away from endpoints that they would crash.
 *
 * The instance whose call was broken off by the end of an endpoint reports the crash to all peers, and every instance
 * draws the same conclusions from the crashes of the whole fleet. What is blocked is also kept in the store, because
 * nothing else outlasts the end of all instances. It doesn't expire: what crashes endpoints can only be tried out on
 * endpoints.
 */
package lacewingweir.coordination.crash

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lacewingweir.coordination.fleet.FleetSnapshot
import lacewingweir.coordination.fleet.StoredBlockList
import lacewingweir.coordination.gossip.CrashNews
import lacewingweir.state.crash.CallSuspects
import lacewingweir.state.crash.CrashEvidence
import lacewingweir.state.crash.EndpointCrash
import lacewingweir.state.crash.Suspect
import lacewingweir.state.crash.TrialTurns
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.id.EndpointTag
import lacewingweir.state.id.SuspectId
import lacewingweir.state.time.MonotonicClock
import java.util.concurrent.atomic.LongAdder

private val logger = KotlinLogging.logger {}

/**
 * @property self the name of this instance
 * @property refusesConnections returns whether nothing listens at the address of an endpoint any more
 * @property onNews called when there are news for the peers
 * @property onDecision called when this instance has blocked something on its own evidence
 */
internal class CrashQuarantine(
    private val self: String,
    private val clock: MonotonicClock,
    private val scope: CoroutineScope,
    refusesConnections: suspend (EndpointEntry) -> Boolean,
    private val onNews: suspend () -> Unit,
    private val onDecision: suspend () -> Unit,
) {
    private val evidence = CrashEvidence()
    private val turns = TrialTurns(self)
    private val ownCrashes = RecentNews<EndpointTag, EndpointCrash>(MAX_NEWS)
    private val ownAnswered = RecentNews<SuspectId, SuspectId>(MAX_NEWS)
    private val endDetector = EndDetector(scope, refusesConnections)

    /** The check of the endpoint to which this instance has sent its trial, once the trial has been broken off. */
    private var trialCheck: Deferred<Boolean>? = null

    @Volatile
    private var knownStored = StoredBlockList()
    private val blockedCalls = LongAdder()
    private val trials = LongAdder()
    private val failedTrials = LongAdder()

    /** Copies that are replaced as a whole, so that calls can check them without a lock. */
    @Volatile
    private var blocked: Set<SuspectId> = emptySet()

    @Volatile
    private var onTrial: Set<SuspectId> = emptySet()

    /** What is blocked, with what was blocked first at the beginning. */
    val blockList: Set<SuspectId>
        get() = blocked

    val figures: QuarantineFigures
        get() {
            val parts = blocked.count { it.part != null }
            return QuarantineFigures(
                blockedParts = parts,
                blockedRequests = blocked.size - parts,
                requestsOnTrial = onTrial.size,
                blockedCalls = blockedCalls.sum(),
                trials = trials.sum(),
                failedTrials = failedTrials.sum(),
            )
        }

    /** Returns whether a call may be sent. [suspects] is called only if anything is suspected or blocked at all. */
    fun standing(suspects: () -> CallSuspects): Standing {
        if (blocked.isEmpty() && onTrial.isEmpty()) return Standing.Clear
        val call = suspects()
        val cause = call.all.firstOrNull { it in blocked }
        return when {
            cause != null -> {
                blockedCalls.increment()
                synchronized(this) { evidence.recordRefusal(cause) }
                Standing.Blocked(cause)
            }
            call.request in onTrial -> Standing.OnTrial
            else -> Standing.Clear
        }
    }

    /**
     * Waits for the turn to try out a suspected request. Returns false if another trial is running in the fleet.
     *
     * If the result is true, [endTrial] must be called.
     */
    suspend fun beginTrial(request: SuspectId): Boolean {
        if (!synchronized(this) { turns.claim(request, clock.nowMillis()) }) return false
        var begun = false
        try {
            onNews()
            delay(CLAIM_WAIT_MILLIS)
            begun = synchronized(this) { turns.hasPrecedence(clock.nowMillis()) && request !in blocked }
            logger.info { "quarantine: trial of $request begun=$begun" }
            if (begun) trials.increment()
            return begun
        } finally {
            if (!begun) releaseTurn()
        }
    }

    /** Ends the trial of this instance, after the check of its endpoint if it was broken off. */
    fun endTrial() {
        scope.launch {
            synchronized(this@CrashQuarantine) { trialCheck.also { trialCheck = null } }?.join()
            releaseTurn()
        }
    }

    private fun releaseTurn() {
        synchronized(this) { turns.release(clock.nowMillis()) }
        scope.launch { onNews() }
    }

    /** Records that a call was answered, which proves that neither its parts nor itself crash endpoints. */
    suspend fun recordAnswer(suspects: CallSuspects) {
        val cleared =
            synchronized(this) {
                evidence.recordAnswer(suspects.all).onEach { ownAnswered.put(it, it, clock.nowMillis()) }
            }
        if (cleared.isEmpty()) return
        publish()
        logger.info { "quarantine: answered after a crash cleared=$cleared" }
        onNews()
    }

    /**
     * Checks whether an endpoint has ended while it had a call, and reports the crash if so.
     *
     * The result is whether it has ended. The check goes on if the caller disconnects, and the caller's response
     * doesn't wait for the report.
     */
    fun checkForCrash(
        endpoint: EndpointEntry,
        call: BrokenCall,
    ): Deferred<Boolean> {
        val check =
            scope.async {
                val ended = endDetector.hasEnded(endpoint)
                if (ended) {
                    val decided = recordOwnCrash(endpoint, call)
                    scope.launch { report(endpoint, call, decided) }
                }
                ended
            }
        if (call.onTrial) synchronized(this) { trialCheck = check }
        return check
    }

    private suspend fun report(
        endpoint: EndpointEntry,
        call: BrokenCall,
        decided: Boolean,
    ) {
        onNews()
        if (decided) onDecision()
        if (!call.onTrial) return
        failedTrials.increment()
        delay(REPORT_WAIT_MILLIS)
        val request = call.suspects.request
        val failedAlone = synchronized(this) { evidence.failedAlone(request, endpoint.tag) }
        logger.warn { "quarantine: trial of $request failed endpoint=${endpoint.id} alone=$failedAlone" }
        if (failedAlone && block(request, "crashed an endpoint alone in a trial")) {
            onNews()
            onDecision()
        }
    }

    /**
     * Returns whether a call that had no response when its connection was lost may be sent to another endpoint.
     *
     * It may unless the endpoint crashed and the call is suspected of it, which is known after a short time.
     */
    suspend fun mayRepeat(suspects: CallSuspects): Boolean {
        val unknown =
            synchronized(this) {
                suspects.parts.filterNot(evidence::wasAnswered) +
                    listOf(suspects.request).filter { evidence.isSuspect(it) }
            }
        if (unknown.isEmpty()) return true
        delay(REPORT_WAIT_MILLIS)
        return synchronized(this) {
            suspects.request !in onTrial &&
                suspects.all.none { it in blocked } &&
                unknown.none { it.part != null && evidence.isSuspect(it) }
        }
    }

    /** Returns whether the request may have crashed an endpoint before and was never answered. */
    @Synchronized
    fun isSuspect(request: SuspectId): Boolean = evidence.isSuspect(request)

    /** Returns whether anything is blocked because of the crash. */
    private fun recordOwnCrash(
        endpoint: EndpointEntry,
        call: BrokenCall,
    ): Boolean {
        val crash =
            synchronized(this) {
                val observed = EndpointCrash(endpoint.tag, suspectsOf(call))
                val before = ownCrashes[endpoint.tag]
                val merged = before?.merge(observed, MAX_REPORTED_SUSPECTS) ?: observed
                ownCrashes.put(endpoint.tag, merged, clock.nowMillis())
                observed
            }
        logger.warn {
            "quarantine: endpoint ${endpoint.id} crashed progress=${call.progress} trial=${call.onTrial} " +
                "suspects=${describe(crash)}"
        }
        return recordCrash(crash)
    }

    private fun suspectsOf(call: BrokenCall): List<Suspect> {
        val parts =
            if (call.progress == BrokenCallProgress.ANSWER_BEGUN) {
                evidence.suspectParts(call.suspects.parts)
            } else {
                // An engine may have up to 48 prompts, most of which wait.
                emptyList()
            }
        val request = call.suspects.request
        return parts +
            Suspect(
                request,
                CrashEvidence.REQUEST_POSITION,
                answered = evidence.wasAnswered(request),
                waiting = call.progress == BrokenCallProgress.MAY_HAVE_WAITED,
                onTrial = call.onTrial,
            )
    }

    /**
     * Returns the news of the last seconds for the peers, or null if there are none. What is blocked is news until it
     * is in the store, because instances that start can learn of it only from their peers until then. Crashes are news
     * as long as one of their requests waits for a trial, for the same reason.
     */
    @Synchronized
    fun news(): CrashNews? {
        val now = clock.nowMillis()
        ownCrashes.removeOlderThan(now - NEWS_MILLIS) { crash -> crash.suspects.any { it.id in onTrial } }
        ownAnswered.removeOlderThan(now - NEWS_MILLIS)
        val turnChanged = turns.changedAtMillis?.let { now - it <= NEWS_MILLIS } ?: false
        val unsaved = blocked - knownStored.ids
        val isQuiet = ownCrashes.isEmpty && ownAnswered.isEmpty && unsaved.isEmpty()
        if (isQuiet && !turnChanged) return null
        val space = NewsSpace()
        return CrashNews(
            instance = self,
            blocked = space.latest(unsaved.toList()) { NewsSpace.bytes(it) },
            crashes = space.latest(ownCrashes.values, NewsSpace::bytes),
            answered = space.latest(ownAnswered.values) { NewsSpace.bytes(it) },
            claimsTrial = turns.claimed != null,
        )
    }

    /** Applies the news of a peer. */
    fun onNews(news: CrashNews) {
        synchronized(this) {
            evidence.recordAnswer(news.answered)
            turns.onPeer(news.instance, news.claimsTrial, clock.nowMillis())
        }
        news.crashes.forEach { recordCrash(it) }
        news.blocked.forEach { block(it, "blocked by a peer") }
        publish()
        contradict(news.crashes)
    }

    /** Tells the peers which requests that recur in the [crashes] that they report were answered at this instance. */
    private fun contradict(crashes: List<EndpointCrash>) {
        val known =
            synchronized(this) {
                crashes
                    .flatMap { it.suspects }
                    .map { it.id }
                    .filter { it !in ownAnswered && evidence.recursThoughAnswered(it) }
                    .onEach { ownAnswered.put(it, it, clock.nowMillis()) }
            }
        if (known.isNotEmpty()) scope.launch { onNews() }
    }

    /** Applies what is blocked according to the store. */
    fun onFleet(snapshot: FleetSnapshot) {
        val stored = snapshot.blockList
        if (stored === knownStored) return
        if (stored.removals > knownStored.removals) unblockAll()
        stored.ids.forEach { block(it, "blocked in the store") }
        knownStored = stored
    }

    private fun recordCrash(crash: EndpointCrash): Boolean {
        val culprit = synchronized(this) { evidence.recordCrash(crash, clock.nowMillis()) }
        publish()
        return culprit != null && block(culprit, "crashed several endpoints")
    }

    @Synchronized
    private fun block(
        id: SuspectId,
        reason: String,
    ): Boolean {
        if (!evidence.block(id)) return false
        publish()
        logger.warn { "quarantine: blocked $id reason=$reason count=${blocked.size}" }
        return true
    }

    @Synchronized
    private fun unblockAll() {
        evidence.unblockAll()
        ownCrashes.clear()
        publish()
        logger.warn { "quarantine: everything unblocked" }
    }

    /** Makes the state of the evidence visible to calls. */
    @Synchronized
    private fun publish() {
        if (evidence.blockList != blocked) blocked = evidence.blockList.toSet()
        val requests = evidence.onTrial
        if (requests == onTrial) return
        val added = requests - onTrial
        if (added.isNotEmpty()) logger.warn { "quarantine: trial needed requests=$added" }
        onTrial = requests
    }

    private fun describe(crash: EndpointCrash) =
        crash.suspects.joinToString(",") { "${it.id}${if (it.answered) " (answered before)" else ""}" }

    private companion object {
        /** Time within which the crash of an endpoint is confirmed and has become known at all instances. */
        const val REPORT_WAIT_MILLIS: Long = 60

        /** Time within which a claim reaches all peers of a large fleet, even if other news were sent just before. */
        const val CLAIM_WAIT_MILLIS: Long = 250

        /** Allows for several digests, in case some are lost. */
        const val NEWS_MILLIS: Long = 5_000

        const val MAX_NEWS: Int = 16

        /** What one instance tells of one crash. Calls that were running go before those that may have waited. */
        const val MAX_REPORTED_SUSPECTS: Int = 16
    }
}
