package lacewingweir.state.rate

/** Sum over a sliding window, kept in slots of a sixteenth of it; what leaves the window leaves a slot late. */
internal class SlidingSum(
    private val windowMillis: Long,
) {
    private val slotMillis = (windowMillis / SLOTS).coerceAtLeast(1)
    private val slots = DoubleArray(SLOTS + 1)
    private var newest = Long.MIN_VALUE

    fun add(
        amount: Long,
        nowMillis: Long,
    ) {
        advance(nowMillis)
        slots[index(newest)] += amount.toDouble()
    }

    fun total(nowMillis: Long): Double {
        advance(nowMillis)
        return slots.sum()
    }

    /** Sets the window to [total], spread evenly over the past. */
    fun fill(
        total: Double,
        nowMillis: Long,
    ) {
        advance(nowMillis)
        slots.fill(total / slots.size)
    }

    private fun advance(nowMillis: Long) {
        val current = Math.floorDiv(nowMillis, slotMillis)
        if (newest == Long.MIN_VALUE || current - newest > SLOTS) {
            slots.fill(0.0)
        } else {
            for (slot in newest + 1..current) slots[index(slot)] = 0.0
        }
        newest = maxOf(newest, current)
    }

    private fun index(slot: Long) = Math.floorMod(slot, slots.size.toLong()).toInt()

    private companion object {
        const val SLOTS: Int = 16
    }
}
