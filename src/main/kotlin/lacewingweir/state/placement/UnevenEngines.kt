package lacewingweir.state.placement

import kotlin.random.Random

/**
 * How to choose among engines that are not equally fast, under views that are some time old.
 *
 * Instances with the same old view would all send their requests to the engine that is cheapest there. Instead, each
 * assumes that the requests of all of them until the next view fill up the cheap engines to an equal level, and draws
 * an engine in proportion to what it gets by that. [spreadMillis] is the time that all engines need for these requests.
 */
internal class UnevenEngines(
    private val random: Random,
    private val spreadMillis: Double,
    private val sizeSplit: SizeSplit?,
) {
    /**
     * Returns the cost of an engine on the wrong side of the size split.
     *
     * Small requests wait long behind large ones, which an instance sees too late. If the fast engines process the
     * large ones, the others are free for small requests without any message.
     */
    fun mismatchMillis(
        fast: Boolean,
        uncachedTokens: Double,
    ): Double = if (sizeSplit == null || fast == (uncachedTokens > sizeSplit.work)) 0.0 else sizeSplit.mismatchMillis

    /** Draws one of [choices] by their costs in milliseconds and the speeds of their engines. */
    fun <T> draw(
        choices: List<T>,
        cost: (T) -> Double,
        speed: (T) -> Double,
    ): T? {
        val sorted = choices.sortedBy(cost)
        val work = sorted.sumOf(speed) * spreadMillis
        val level = filledLevel(sorted, work, cost, speed)
        var remaining = random.nextDouble() * work
        for (choice in sorted) {
            remaining -= speed(choice) * (level - cost(choice)).coerceAtLeast(0.0)
            if (remaining < 0.0) return choice
        }
        return sorted.firstOrNull()
    }

    /** Returns the cost to which [work] raises the cheapest of the [sorted] engines. */
    private fun <T> filledLevel(
        sorted: List<T>,
        work: Double,
        cost: (T) -> Double,
        speed: (T) -> Double,
    ): Double {
        var speeds = 0.0
        var workBelow = 0.0
        var level = 0.0
        for ((n, choice) in sorted.withIndex()) {
            speeds += speed(choice)
            workBelow += speed(choice) * cost(choice)
            level = (work + workBelow) / speeds
            if (n + 1 == sorted.size || level <= cost(sorted[n + 1])) break
        }
        return level
    }
}
