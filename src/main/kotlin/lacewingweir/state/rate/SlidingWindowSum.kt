package lacewingweir.state.rate

/**
 * Sums amounts over a sliding window.
 *
 * The window is divided into [SLOTS] slots plus the current one, so an amount expires up to one slot late.
 */
internal class SlidingWindowSum(
    private val windowMillis: Long,
) {
    private val slotMillis = (windowMillis / SLOTS).coerceAtLeast(1)
    private val slots = DoubleArray(SLOTS + 1)
    private var newestSlot = Long.MIN_VALUE
    private var sum = 0.0

    /** Adds [amount] at [nowMillis]. */
    fun add(
        amount: Long,
        nowMillis: Long,
    ) {
        advance(nowMillis)
        slots[slotIndex(newestSlot)] += amount.toDouble()
        sum += amount
    }

    /** Adds [amount], spread evenly over the part of the window from [fromMillis] to [nowMillis]. */
    fun addSince(
        amount: Long,
        fromMillis: Long,
        nowMillis: Long,
    ) {
        advance(nowMillis)
        val first = Math.floorDiv(fromMillis, slotMillis).coerceIn(newestSlot - SLOTS, newestSlot)
        val part = amount.toDouble() / (newestSlot - first + 1)
        for (slot in first..newestSlot) slots[slotIndex(slot)] += part
        sum += amount
    }

    /** Adds the amounts of [other], which has the same window length, each at its time. */
    fun addAll(
        other: SlidingWindowSum,
        nowMillis: Long,
    ) {
        advance(nowMillis)
        other.advance(nowMillis)
        for (index in slots.indices) slots[index] += other.slots[index]
        sum = slots.sum()
    }

    /** Returns the sum of the amounts within the window that ends at [nowMillis]. */
    fun total(nowMillis: Long): Double {
        advance(nowMillis)
        return sum
    }

    /** Returns the part of the sum that leaves the window within [periodMillis] from [nowMillis]. */
    fun expiringWithin(
        periodMillis: Long,
        nowMillis: Long,
    ): Double {
        advance(nowMillis)
        val oldest = newestSlot - SLOTS
        val count = (periodMillis / slotMillis).coerceAtMost(SLOTS.toLong())
        return (oldest until oldest + count).sumOf { slots[slotIndex(it)] }
    }

    /** Replaces the contents of the window by [total], spread evenly over all slots. */
    fun fill(
        total: Double,
        nowMillis: Long,
    ) {
        advance(nowMillis)
        slots.fill(total / slots.size)
        sum = slots.sum()
    }

    private fun advance(nowMillis: Long) {
        val current = Math.floorDiv(nowMillis, slotMillis)
        if (current <= newestSlot) return
        if (newestSlot == Long.MIN_VALUE || current - newestSlot > SLOTS) {
            slots.fill(0.0)
        } else {
            for (slot in newestSlot + 1..current) slots[slotIndex(slot)] = 0.0
        }
        newestSlot = current
        // Summed anew for each slot, so that rounding errors don't accumulate.
        sum = slots.sum()
    }

    private fun slotIndex(slot: Long) = Math.floorMod(slot, slots.size.toLong()).toInt()

    private companion object {
        /** All instances see the tokens of an expiring slot at the same time, so a slot is shorter than an interval. */
        const val SLOTS: Int = 64
    }
}
