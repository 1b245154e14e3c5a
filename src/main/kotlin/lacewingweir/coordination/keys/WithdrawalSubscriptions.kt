package lacewingweir.coordination.keys

import lacewingweir.coordination.time.Subscription
import lacewingweir.state.id.KeyDigest
import java.util.concurrent.ConcurrentHashMap

/** The open streams of keyed requests by key digest. Each action runs at most once. */
internal class WithdrawalSubscriptions {
    private val byDigest = ConcurrentHashMap<KeyDigest, MutableSet<Entry>>()

    private class Entry(
        val action: () -> Unit,
    )

    fun add(
        digest: KeyDigest,
        action: () -> Unit,
    ): Subscription {
        val entry = Entry(action)
        byDigest.compute(digest) { _, set -> (set ?: ConcurrentHashMap.newKeySet()).apply { add(entry) } }
        return Subscription { remove(digest, entry) }
    }

    fun digests(): Set<KeyDigest> = byDigest.keys

    /** Runs and removes all actions of [digest]. */
    fun fire(digest: KeyDigest) {
        byDigest[digest]?.toList().orEmpty().forEach { if (remove(digest, it)) it.action() }
    }

    fun fireAll() {
        byDigest.keys.toList().forEach(::fire)
    }

    private fun remove(
        digest: KeyDigest,
        entry: Entry,
    ): Boolean {
        var removed = false
        byDigest.computeIfPresent(digest) { _, set ->
            removed = set.remove(entry)
            set.takeIf { it.isNotEmpty() }
        }
        return removed
    }
}
