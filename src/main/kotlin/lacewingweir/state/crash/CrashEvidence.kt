/**
 * Finds the prompt part that crashes endpoints.
 *
 * A part that crashes every endpoint that begins to answer it was never answered, and recurs among the prompts that
 * crashed endpoints were beginning to answer. Parts that were answered in spite of this are innocent: an endpoint that
 * ends for another reason takes the answers of sound prompts with it, and a crashing part shares its prompts with sound
 * parts, above all with the first ones. Each run of an endpoint counts once, however many instances saw it end.
 */
package lacewingweir.state.crash

import lacewingweir.state.id.EndpointTag
import lacewingweir.state.id.PartId

/**
 * Collects crashes, answers and the parts that are blocked. Not thread-safe; the owner synchronizes. Times are of the
 * monotonic clock.
 */
internal class CrashEvidence {
    private class Crash(
        val atMillis: Long,
    ) {
        val suspects = LinkedHashMap<PartId, SuspectPart>()
    }

    private val crashes = LinkedHashMap<EndpointTag, Crash>()
    private val answeredParts = LinkedHashSet<PartId>()
    private val blocked = LinkedHashSet<PartId>()

    /** The blocked parts, those blocked first at the beginning. */
    val blockedParts: Set<PartId>
        get() = blocked

    /** Records that prompts with [parts] were answered. Returns those that were suspected until now. */
    fun recordAnswer(parts: List<PartId>): List<PartId> {
        for (part in parts) {
            // Removed first, so that the iteration order remains the order of use.
            answeredParts.remove(part)
            answeredParts.add(part)
        }
        if (answeredParts.size > MAX_ANSWERED_PARTS) answeredParts.remove(answeredParts.first())
        if (crashes.isEmpty()) return emptyList()
        return parts.filter { part -> crashes.values.count { it.suspects.remove(part) != null } > 0 }
    }

    /** Returns whether prompts with the part were answered recently. */
    fun wasAnswered(part: PartId): Boolean = part in answeredParts

    /** Returns whether the part may have crashed an endpoint and was never answered. */
    fun isSuspect(part: PartId): Boolean = part !in answeredParts && unexplainedCrashes().any { part in it.suspects }

    /** Records a crash, or further suspects of a known one. Returns the part that is to be blocked, or null. */
    fun recordCrash(
        reported: EndpointCrash,
        nowMillis: Long,
    ): PartId? {
        expire(nowMillis)
        val crash = crashes.getOrPut(reported.endpoint) { Crash(nowMillis) }
        for (suspect in reported.suspects) {
            val known = crash.suspects[suspect.part]
            crash.suspects[suspect.part] = suspect.copy(answered = suspect.answered || known?.answered == true)
        }
        return culprit()
    }

    /**
     * Blocks [part], and forgets the part blocked first if there are too many. Returns false if it was blocked already.
     *
     * The crashes in which a blocked part was suspected are no evidence against other parts.
     */
    fun block(part: PartId): Boolean {
        if (!blocked.add(part)) return false
        if (blocked.size > MAX_BLOCKED_PARTS) blocked.remove(blocked.first())
        return true
    }

    /** Unblocks all parts and forgets the evidence against them. */
    fun unblockAll() {
        blocked.clear()
        crashes.clear()
    }

    /** Returns the parts of [parts] that can explain a crash: those never answered or, if there are none, all. */
    fun suspects(parts: List<PartId>): List<SuspectPart> {
        val all = parts.mapIndexed { position, part -> SuspectPart(part, position, part in answeredParts) }
        return all.filterNot { it.answered }.ifEmpty { all }
    }

    private fun unexplainedCrashes() = crashes.values.filter { crash -> crash.suspects.keys.none { it in blocked } }

    private fun culprit(): PartId? {
        val unexplained = unexplainedCrashes()
        return leading(unexplained.map(::neverAnswered), CRASHES_TO_BLOCK, CRASHES_TO_BLOCK_IN_DOUBT)
            ?: leading(
                unexplained.filter { neverAnswered(it).isEmpty() }.map { it.suspects.values },
                CRASHES_TO_BLOCK_ANSWERED,
                CRASHES_TO_BLOCK_ANSWERED,
            )
    }

    private fun neverAnswered(crash: Crash): Collection<SuspectPart> =
        crash.suspects.values.filterNot { it.answered || it.part in answeredParts }

    /**
     * Returns the part that is suspected in most of [crashes], if those are at least [enough].
     *
     * If several parts are, as many as [enoughInDoubt] are needed. Then the last one in the prompt is returned, because
     * fewer sound prompts share it.
     */
    private fun leading(
        crashes: List<Collection<SuspectPart>>,
        enough: Int,
        enoughInDoubt: Int,
    ): PartId? {
        val byPart = crashes.flatten().groupBy { it.part }
        val most = byPart.values.maxOfOrNull { it.size } ?: return null
        val leaders = byPart.values.filter { it.size == most }
        if (most < if (leaders.size == 1) enough else enoughInDoubt) return null
        return leaders.maxBy { found -> found.maxOf { it.position } }.first().part
    }

    private fun expire(nowMillis: Long) {
        crashes.values.removeIf { nowMillis - it.atMillis > RETENTION_MILLIS }
        while (crashes.size >= MAX_CRASHES) crashes.remove(crashes.keys.first())
    }

    companion object {
        /** One crash can hit any prompt. Two with the same unknown part and nothing else in common hardly can. */
        private const val CRASHES_TO_BLOCK: Int = 2

        /** Number of crashes with the same unknown parts, any of which may be the cause. */
        private const val CRASHES_TO_BLOCK_IN_DOUBT: Int = 3

        /** Number of crashes for parts that were answered before, since new weights for example may change that. */
        private const val CRASHES_TO_BLOCK_ANSWERED: Int = 4

        /** Crashes that are further apart, in milliseconds, are not related. */
        private const val RETENTION_MILLIS: Long = 3_600_000
        private const val MAX_CRASHES: Int = 64
        const val MAX_BLOCKED_PARTS: Int = 256

        /** Limits memory to a few hundred kilobytes. */
        private const val MAX_ANSWERED_PARTS: Int = 4_096
    }
}
