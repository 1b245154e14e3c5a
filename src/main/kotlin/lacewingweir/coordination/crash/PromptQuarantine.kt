/**
 * Keeps prompts away from endpoints that they would crash.
 *
 * The instance whose call was broken off by the end of an endpoint reports the crash to all peers, and every instance
 * draws the same conclusions from the crashes of the whole fleet. Blocked parts are also kept in the store, because
 * nothing else outlasts the end of all instances. They don't expire: a part that crashes endpoints can only be tried
 * out on endpoints.
 */
package lacewingweir.coordination.crash

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lacewingweir.coordination.fleet.FleetSnapshot
import lacewingweir.coordination.fleet.StoredBlockedParts
import lacewingweir.coordination.gossip.PromptNews
import lacewingweir.state.crash.CrashEvidence
import lacewingweir.state.crash.EndpointCrash
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.fleet.Prompt
import lacewingweir.state.id.PartId
import lacewingweir.state.time.MonotonicClock
import java.util.concurrent.atomic.LongAdder

private val logger = KotlinLogging.logger {}

/**
 * @property refusesConnections returns whether nothing listens at the address of an endpoint any more
 * @property onNews called when there are news for the peers
 * @property onDecision called when this instance has blocked a part on its own evidence
 */
internal class PromptQuarantine(
    private val clock: MonotonicClock,
    private val scope: CoroutineScope,
    private val refusesConnections: suspend (EndpointEntry) -> Boolean,
    private val onNews: suspend () -> Unit,
    private val onDecision: suspend () -> Unit,
) {
    private class Dated<T>(
        val atMillis: Long,
        val value: T,
    )

    private val evidence = CrashEvidence()
    private val ownCrashes = ArrayDeque<Dated<EndpointCrash>>()
    private val ownAnswered = ArrayDeque<Dated<PartId>>()

    @Volatile
    private var knownStored = StoredBlockedParts()
    private val blockedCount = LongAdder()

    /** A copy that is replaced as a whole, so that calls can check it without a lock. */
    @Volatile
    private var blocked: Set<PartId> = emptySet()

    /** The blocked parts, those blocked first at the beginning. */
    val blockedParts: Set<PartId>
        get() = blocked

    /** The number of prompts for which [blockedPart] returned a part. */
    val blockedPrompts: Long
        get() = blockedCount.sum()

    /** Returns a blocked part of [prompt], or null if it may be sent to endpoints. */
    fun blockedPart(prompt: Prompt?): PartId? {
        val current = blocked
        if (prompt == null || current.isEmpty()) return null
        return prompt.sharedParts.firstOrNull { it in current }?.also { blockedCount.increment() }
    }

    /** Records that [prompt] was answered, which proves that none of its parts crashes endpoints. */
    suspend fun recordAnswer(prompt: Prompt) {
        val cleared =
            synchronized(this) {
                evidence.recordAnswer(prompt.sharedParts).onEach { ownAnswered.add(it) }
            }
        if (cleared.isEmpty()) return
        logger.info { "quarantine: answered after a crash parts=$cleared" }
        onNews()
    }

    /**
     * Checks whether an endpoint has ended as it began to answer [prompt], and reports the crash if so.
     *
     * The result is whether it has ended. The check goes on if the caller of the prompt disconnects, and the caller's
     * response doesn't wait for the report.
     */
    fun checkForCrash(
        endpoint: EndpointEntry,
        prompt: Prompt,
    ): Deferred<Boolean> =
        scope.async {
            val ended = hasEnded(endpoint)
            if (ended && prompt.sharedParts.isNotEmpty()) {
                val decided = recordOwnCrash(endpoint, prompt)
                scope.launch {
                    onNews()
                    if (decided) onDecision()
                }
            }
            ended
        }

    /**
     * Returns whether a call that had no response when its connection was lost may be sent to another endpoint.
     *
     * It may unless the endpoint crashed and one of the parts is suspected of it, which is known after a short time.
     */
    suspend fun mayRepeat(prompt: Prompt): Boolean {
        val unknownParts = synchronized(this) { prompt.sharedParts.filterNot(evidence::wasAnswered) }
        if (unknownParts.isEmpty()) return true
        delay(REPORT_WAIT_MILLIS)
        return synchronized(this) { unknownParts.none { it in blocked || evidence.isSuspect(it) } }
    }

    /** An endpoint that lives goes on listening when a response breaks off. */
    private suspend fun hasEnded(endpoint: EndpointEntry): Boolean {
        if (refusesConnections(endpoint)) return true
        delay(SECOND_CHECK_MILLIS)
        return refusesConnections(endpoint)
    }

    /** Returns whether a part is blocked because of the crash. */
    private fun recordOwnCrash(
        endpoint: EndpointEntry,
        prompt: Prompt,
    ): Boolean {
        val crash =
            synchronized(this) {
                EndpointCrash(endpoint.tag, evidence.suspects(prompt.sharedParts)).also { ownCrashes.add(it) }
            }
        logger.warn { "quarantine: endpoint ${endpoint.id} crashed suspects=${describe(crash)}" }
        return recordCrash(crash)
    }

    /**
     * Returns the news of the last seconds for the peers, or null if there are none. Blocked parts are news until they
     * are in the store, because instances that start can learn of them only from their peers until then.
     */
    @Synchronized
    fun news(): PromptNews? {
        val oldest = clock.nowMillis() - NEWS_MILLIS
        listOf(ownCrashes, ownAnswered).forEach { dated -> dated.removeIf { it.atMillis < oldest } }
        val unsaved = (blocked - knownStored.parts).toList().takeLast(MAX_NEWS)
        if (ownCrashes.isEmpty() && ownAnswered.isEmpty() && unsaved.isEmpty()) return null
        return PromptNews(ownCrashes.values(), ownAnswered.values(), unsaved)
    }

    /** Applies the news of a peer. */
    fun onNews(news: PromptNews) {
        synchronized(this) { evidence.recordAnswer(news.answered) }
        news.crashes.forEach { recordCrash(it) }
        news.blocked.forEach { block(it, "blocked by a peer") }
    }

    /** Applies the blocked parts in the store. */
    fun onFleet(snapshot: FleetSnapshot) {
        val stored = snapshot.blockedParts
        if (stored === knownStored) return
        if (stored.removals > knownStored.removals) unblockAll()
        stored.parts.forEach { block(it, "blocked in the store") }
        knownStored = stored
    }

    private fun recordCrash(crash: EndpointCrash): Boolean {
        val culprit = synchronized(this) { evidence.recordCrash(crash, clock.nowMillis()) }
        return culprit != null && block(culprit, "crashed several endpoints")
    }

    @Synchronized
    private fun block(
        part: PartId,
        reason: String,
    ): Boolean {
        if (!evidence.block(part)) return false
        blocked = evidence.blockedParts.toSet()
        logger.warn { "quarantine: part blocked part=$part reason=$reason count=${blocked.size}" }
        return true
    }

    @Synchronized
    private fun unblockAll() {
        evidence.unblockAll()
        blocked = emptySet()
        ownCrashes.clear()
        logger.warn { "quarantine: all parts unblocked" }
    }

    private fun describe(crash: EndpointCrash) =
        crash.suspects.joinToString(",") { "${it.part}${if (it.answered) " (answered before)" else ""}" }

    private fun <T> ArrayDeque<Dated<T>>.add(value: T) {
        if (size == MAX_NEWS) removeFirst()
        addLast(Dated(clock.nowMillis(), value))
    }

    private fun <T> ArrayDeque<Dated<T>>.values() = map { it.value }

    private companion object {
        /** Time within which the crash of an endpoint is confirmed and has become known at all instances. */
        const val REPORT_WAIT_MILLIS: Long = 60

        /** An endpoint may close its connections slightly before its port. */
        const val SECOND_CHECK_MILLIS: Long = 30

        /** Allows for several digests, in case some are lost. */
        const val NEWS_MILLIS: Long = 5_000

        /** Limits the size of a datagram to one or two kilobytes. */
        const val MAX_NEWS: Int = 16
    }
}
