package lacewingweir.coordination.keys

import lacewingweir.coordination.time.Subscription
import lacewingweir.state.id.KeyDigest
import java.util.concurrent.ConcurrentHashMap

/** Actions to run on the withdrawal of a key, by key digest. Each action runs at most once. */
internal class WithdrawalSubscriptions {
    private val actionsByDigest = ConcurrentHashMap<KeyDigest, MutableSet<PendingAction>>()

    private class PendingAction(
        val action: () -> Unit,
    )

    fun add(
        digest: KeyDigest,
        action: () -> Unit,
    ): Subscription {
        val pending = PendingAction(action)
        actionsByDigest.compute(digest) { _, set -> (set ?: ConcurrentHashMap.newKeySet()).apply { add(pending) } }
        return Subscription { remove(digest, pending) }
    }

    fun digests(): Set<KeyDigest> = actionsByDigest.keys

    /** Runs and removes all actions of [digest]. */
    fun fire(digest: KeyDigest) {
        actionsByDigest[digest]?.toList().orEmpty().forEach { if (remove(digest, it)) it.action() }
    }

    fun fireAll() {
        actionsByDigest.keys.toList().forEach(::fire)
    }

    private fun remove(
        digest: KeyDigest,
        pending: PendingAction,
    ): Boolean {
        var removed = false
        actionsByDigest.computeIfPresent(digest) { _, set ->
            removed = set.remove(pending)
            set.takeIf { it.isNotEmpty() }
        }
        return removed
    }
}
