package lacewingweir.state.retry

import kotlin.math.ceil

/**
 * Counts the instances that share a budget of the fleet.
 *
 * Instances that are no longer listed may have used their part, or go on without contact to the store, so they count
 * for another [memoryMillis]. Within [settlingMillis] from when this instance was first listed itself, others may be
 * about to register, so those that are listed count for more. Times are of the monotonic clock.
 */
internal class BudgetSharers(
    private val memoryMillis: Long,
    private val settlingMillis: Long,
) {
    private class Replaced(
        val count: Int,
        val atMillis: Long,
    )

    private var listed = 0
    private var firstListedMillis: Long? = null

    /** Earlier numbers that are greater than all later ones. */
    private val replaced = ArrayDeque<Replaced>()

    /** Sets the number of [instances] that are listed, zero if this instance isn't. */
    @Synchronized
    fun update(
        instances: Int,
        nowMillis: Long,
    ) {
        if (instances < listed) {
            while (replaced.isNotEmpty() && replaced.last().count <= listed) replaced.removeLast()
            replaced.addLast(Replaced(listed, nowMillis))
        }
        listed = instances
        if (instances > 0 && firstListedMillis == null) firstListedMillis = nowMillis
    }

    /** Returns how many instances share the budget, or zero if that isn't known. */
    @Synchronized
    fun count(nowMillis: Long): Int {
        val listedForMillis = nowMillis - (firstListedMillis ?: return 0)
        while (replaced.isNotEmpty() && replaced.first().atMillis < nowMillis - memoryMillis) replaced.removeFirst()
        val count = maxOf(listed, replaced.firstOrNull()?.count ?: 0)
        if (listedForMillis >= settlingMillis) return count
        return ceil(count.toDouble() * settlingMillis / listedForMillis.coerceAtLeast(1)).toInt()
    }
}
