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

    /** Adds [amount] at [nowMillis]. */
    fun add(
        amount: Long,
        nowMillis: Long,
    ) {
        advance(nowMillis)
        slots[slotIndex(newestSlot)] += amount.toDouble()
    }

    /** Returns the sum of the amounts within the window that ends at [nowMillis]. */
    fun total(nowMillis: Long): Double {
        advance(nowMillis)
        return slots.sum()
    }

    /** Replaces the contents of the window by [total], spread evenly over all slots. */
    fun fill(
        total: Double,
        nowMillis: Long,
    ) {
        advance(nowMillis)
        slots.fill(total / slots.size)
    }

    private fun advance(nowMillis: Long) {
        val current = Math.floorDiv(nowMillis, slotMillis)
        if (newestSlot == Long.MIN_VALUE || current - newestSlot > SLOTS) {
            slots.fill(0.0)
        } else {
            for (slot in newestSlot + 1..current) slots[slotIndex(slot)] = 0.0
        }
        newestSlot = maxOf(newestSlot, current)
    }

    private fun slotIndex(slot: Long) = Math.floorMod(slot, slots.size.toLong()).toInt()

    private companion object {
        const val SLOTS: Int = 16
    }
}
