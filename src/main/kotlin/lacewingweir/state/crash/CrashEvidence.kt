/**
 * Finds the prompt part or the request that crashes endpoints.
 *
 * What crashes every endpoint that begins to run it was never answered, and recurs among the calls that crashed
 * endpoints were running. What was answered in spite of this is innocent: an endpoint that ends for another reason
 * takes sound calls with it. Each run of an endpoint counts once, however many instances saw it end.
 *
 * A part is blocked on such evidence alone, since sound calls with the same part are answered soon. A request that
 * recurs is not, because a sound call that is repeated beside a crashing one recurs as well. It needs a trial, in which
 * it is sent while no other suspected request runs. It is blocked if it crashes its endpoint again.
 */
package lacewingweir.state.crash

import lacewingweir.state.id.EndpointTag
import lacewingweir.state.id.SuspectId

/**
 * Collects crashes, answers and what is blocked. Not thread-safe; the owner synchronizes. Times are of the monotonic
 * clock.
 */
internal class CrashEvidence {
    private class Crash(
        val atMillis: Long,
    ) {
        val suspects = LinkedHashMap<SuspectId, Suspect>()
    }

    private val crashes = LinkedHashMap<EndpointTag, Crash>()
    private val answeredParts = RecentIds(MAX_ANSWERED_PARTS)
    private val answeredRequests = RecentIds(MAX_ANSWERED_REQUESTS)
    private val blocked = LinkedHashSet<SuspectId>()

    /** What is blocked, with what was blocked or refused longest ago at the beginning. */
    val blockList: Set<SuspectId>
        get() = blocked

    /** The requests that may be sent in a trial only. */
    var onTrial: Set<SuspectId> = emptySet()
        private set

    /** Records that calls with [ids] were answered. Returns those that were suspected until now. */
    fun recordAnswer(ids: List<SuspectId>): List<SuspectId> {
        ids.forEach { answered(it).add(it) }
        if (crashes.isEmpty()) return emptyList()
        val cleared = ids.filter { id -> crashes.values.count { it.suspects.remove(id) != null } > 0 }
        if (cleared.isNotEmpty()) updateTrials()
        return cleared
    }

    /** Returns whether calls with the part or request were answered recently. */
    fun wasAnswered(id: SuspectId): Boolean = id in answered(id)

    /** Returns whether the part or request may have crashed an endpoint and was never answered. */
    fun isSuspect(id: SuspectId): Boolean = !wasAnswered(id) && unexplainedCrashes().any { id in it.suspects }

    /** Returns whether a request that was answered is suspected of several crashes, as far as others know. */
    fun recursThoughAnswered(id: SuspectId): Boolean =
        id in answeredRequests && crashes.values.count { it.suspects[id]?.answered == false } >= CRASHES_TO_TRY

    /** Records a crash, or further suspects of a known one. Returns what is to be blocked, or null. */
    fun recordCrash(
        reported: EndpointCrash,
        nowMillis: Long,
    ): SuspectId? {
        expire(nowMillis)
        val crash = crashes.getOrPut(reported.endpoint) { Crash(nowMillis) }
        for (suspect in reported.suspects) {
            if (crash.suspects.size < MAX_SUSPECTS || suspect.id in crash.suspects) {
                crash.suspects.merge(suspect.id, suspect, Suspect::merge)
            }
        }
        updateTrials()
        return failedRequest() ?: culpritPart()
    }

    /**
     * Returns whether [request] crashed the [endpoint] in a trial, and no other call that the endpoint was running can
     * have done so. Not meaningful until all instances have had the time to report the crash.
     */
    fun failedAlone(
        request: SuspectId,
        endpoint: EndpointTag,
    ): Boolean {
        val crash = crashes[endpoint] ?: return false
        return crash.suspects[request]?.onTrial == true && running(crash).filterNot(::isPart).all { it.id == request }
    }

    /**
     * Blocks [id], and forgets what was blocked or refused longest ago if there is too much. Returns false if it was
     * blocked already.
     *
     * The crashes in which something blocked was suspected are no evidence against anything else.
     */
    fun block(id: SuspectId): Boolean {
        if (!blocked.add(id)) return false
        if (blocked.size > MAX_BLOCKED) blocked.remove(blocked.first())
        updateTrials()
        return true
    }

    /** Records that a call was refused because [id] is blocked, so that it is not forgotten while such calls come. */
    fun recordRefusal(id: SuspectId) {
        if (blocked.remove(id)) blocked.add(id)
    }

    /** Unblocks everything and forgets the evidence. */
    fun unblockAll() {
        blocked.clear()
        crashes.clear()
        updateTrials()
    }

    /** Returns those of [parts] that can explain a crash: those never answered or, if there are none, all. */
    fun suspectParts(parts: List<SuspectId>): List<Suspect> {
        val all = parts.mapIndexed { position, part -> Suspect(part, position, wasAnswered(part)) }
        return all.filterNot { it.answered }.ifEmpty { all }
    }

    private fun answered(id: SuspectId) = if (id.part != null) answeredParts else answeredRequests

    private fun isPart(suspect: Suspect) = suspect.id.part != null

    private fun unexplainedCrashes() = crashes.values.filter { crash -> crash.suspects.keys.none { it in blocked } }

    private fun neverAnswered(suspect: Suspect) = !suspect.answered && !wasAnswered(suspect.id)

    /** The calls that the endpoint was running, without those that are innocent. */
    private fun running(crash: Crash): List<Suspect> = crash.suspects.values.filter { !it.waiting && neverAnswered(it) }

    /**
     * The requests that can explain a crash. Those that may have waited count only if no other does, because an
     * endpoint that crashes as it begins to run a request may not have responded to it.
     */
    private fun explanations(crash: Crash): List<SuspectId> {
        val requests = crash.suspects.values.filter { !isPart(it) && neverAnswered(it) }
        return requests.filterNot { it.waiting }.ifEmpty { requests }.map { it.id }
    }

    private fun updateTrials() {
        if (crashes.isEmpty()) {
            onTrial = emptySet()
            return
        }
        val unexplained = unexplainedCrashes()
        val unknown = unexplained.flatMap(::explanations).groupingBy { it }.eachCount()
        val all =
            unexplained
                .flatMap { crash -> crash.suspects.values.filterNot { it.waiting || isPart(it) } }
                .groupingBy { it.id }
                .eachCount()
        onTrial =
            unknown.filterValues { it >= CRASHES_TO_TRY }.keys +
            all.filterValues { it >= CRASHES_TO_BLAME_ANSWERED }.keys
    }

    /** Returns a request that crashed endpoints in several trials, even if beside others, or null. */
    private fun failedRequest(): SuspectId? =
        unexplainedCrashes()
            .flatMap { crash -> crash.suspects.values.filter { it.onTrial } }
            .groupingBy { it.id }
            .eachCount()
            .entries
            .firstOrNull { it.value >= FAILED_TRIALS_TO_BLOCK }
            ?.key

    private fun culpritPart(): SuspectId? {
        val unexplained = unexplainedCrashes()
        return leadingPart(unexplained.map(::running), CRASHES_TO_BLOCK, CRASHES_TO_BLOCK_IN_DOUBT)
            ?: leadingPart(
                answeredPartsByMoment(unexplained),
                CRASHES_TO_BLAME_ANSWERED,
                CRASHES_TO_BLAME_ANSWERED,
            )
    }

    /**
     * The parts in those of [crashes] that nothing unknown explains. Crashes at the same moment are taken as one, since
     * the loss of a failure domain or a rack ends many endpoints that have parts in common.
     */
    private fun answeredPartsByMoment(crashes: List<Crash>): List<Collection<Suspect>> {
        val moments = ArrayList<Pair<Long, LinkedHashMap<SuspectId, Suspect>>>()
        for (crash in crashes) {
            if (crash.suspects.values.any { isPart(it) && neverAnswered(it) || it.id in onTrial }) continue
            if (moments.isEmpty() || crash.atMillis - moments.last().first >= SAME_MOMENT_MILLIS) {
                moments += crash.atMillis to LinkedHashMap()
            }
            crash.suspects.values
                .filter(::isPart)
                .forEach { moments.last().second.putIfAbsent(it.id, it) }
        }
        return moments.map { it.second.values }
    }

    /**
     * Returns the part that is suspected in most of [crashes], if those are at least [enough].
     *
     * If several suspects are, as many as [enoughInDoubt] are needed. Then the last one in the prompt is taken, because
     * fewer sound calls share it. The result is null if this is a whole request.
     */
    private fun leadingPart(
        crashes: List<Collection<Suspect>>,
        enough: Int,
        enoughInDoubt: Int,
    ): SuspectId? {
        val byId = crashes.flatten().groupBy { it.id }
        val most = byId.values.maxOfOrNull { it.size } ?: return null
        val leaders = byId.values.filter { it.size == most }
        if (most < if (leaders.size == 1) enough else enoughInDoubt) return null
        return leaders
            .maxBy { found -> found.maxOf { it.position } }
            .first()
            .takeIf(::isPart)
            ?.id
    }

    private fun expire(nowMillis: Long) {
        crashes.values.removeIf { nowMillis - it.atMillis > RETENTION_MILLIS }
        while (crashes.size >= MAX_CRASHES) crashes.remove(crashes.keys.first())
    }

    companion object {
        /** The position of requests, which are more specific than any part. */
        const val REQUEST_POSITION: Int = Int.MAX_VALUE

        /** One crash can hit any prompt. Two with the same unknown part and nothing else in common hardly can. */
        private const val CRASHES_TO_BLOCK: Int = 2

        /** Number of crashes with the same unknown parts, any of which may be the cause. */
        private const val CRASHES_TO_BLOCK_IN_DOUBT: Int = 3

        /** Number of crashes after which a request that was never answered needs a trial. */
        private const val CRASHES_TO_TRY: Int = 2

        /** Number of crashes for what was answered before, since new weights for example may change that. */
        private const val CRASHES_TO_BLAME_ANSWERED: Int = 4

        /** Endpoints that end within this time may have a common cause. */
        private const val SAME_MOMENT_MILLIS: Long = 1_000

        /** A trial may fail because of another call that the endpoint runs, but two hardly can. */
        private const val FAILED_TRIALS_TO_BLOCK: Int = 2

        /** Crashes that are further apart, in milliseconds, are not related. */
        private const val RETENTION_MILLIS: Long = 3_600_000
        private const val MAX_CRASHES: Int = 64

        /** Exceeds the number of requests that one endpoint runs and queues. */
        private const val MAX_SUSPECTS: Int = 128
        const val MAX_BLOCKED: Int = 256

        /** Limits memory to a few hundred kilobytes. */
        private const val MAX_ANSWERED_PARTS: Int = 4_096
        private const val MAX_ANSWERED_REQUESTS: Int = 2_048
    }
}
