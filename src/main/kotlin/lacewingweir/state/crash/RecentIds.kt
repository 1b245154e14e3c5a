package lacewingweir.state.crash

import lacewingweir.state.id.SuspectId

/** A set that keeps the [capacity] ids added most recently. */
internal class RecentIds(
    private val capacity: Int,
) {
    private val ids = LinkedHashSet<SuspectId>()

    fun add(id: SuspectId) {
        // Removed first, so that the iteration order remains the order of use.
        ids.remove(id)
        ids.add(id)
        if (ids.size > capacity) ids.remove(ids.first())
    }

    operator fun contains(id: SuspectId): Boolean = id in ids
}
