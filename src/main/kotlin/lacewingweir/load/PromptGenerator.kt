package lacewingweir.load

import java.util.concurrent.ConcurrentHashMap
import kotlin.math.pow
import kotlin.random.Random

/** Makes prompts of a [PromptTree]. The text of a node depends on its path only, so all runs share it. */
public class PromptGenerator(
    private val tree: PromptTree,
) {
    private val texts = ConcurrentHashMap<String, String>()
    private val weights: List<DoubleArray> = tree.levels.map { level -> zipfCumulative(level.fanout) }

    /** Draws a prompt at [elapsedSeconds] of the run, with [suffixTokens] tokens that no other prompt has. */
    public fun next(
        random: Random,
        elapsedSeconds: Double,
        suffixTokens: Int,
    ): String {
        val shift = if (tree.shiftSeconds > 0) (elapsedSeconds / tree.shiftSeconds).toInt() else 0
        val prompt = StringBuilder()
        var path = tree.namespace
        for ((depth, level) in tree.levels.withIndex()) {
            val rank = draw(weights[depth], random)
            val child = (rank + shift * SHIFT_STEP) % level.fanout
            path = "$path/$child"
            prompt.append(nodeText(path, level.tokens))
        }
        prompt.append(filler("unique-${random.nextLong()}", suffixTokens))
        return prompt.toString()
    }

    private fun nodeText(
        path: String,
        tokens: Int,
    ): String = texts.computeIfAbsent(path) { filler(it, tokens) }

    private fun zipfCumulative(count: Int): DoubleArray {
        var sum = 0.0
        val cumulative =
            DoubleArray(count) { n ->
                (n + 1.0).pow(-tree.skew).let {
                    sum += it
                    sum
                }
            }
        for (n in cumulative.indices) cumulative[n] /= sum
        return cumulative
    }

    private fun draw(
        cumulative: DoubleArray,
        random: Random,
    ): Int {
        val position = cumulative.asList().binarySearch(random.nextDouble())
        return (if (position >= 0) position else -position - 1).coerceAtMost(cumulative.size - 1)
    }

    private companion object {
        const val BYTES_PER_TOKEN: Int = 4
        const val SHIFT_STEP: Int = 3

        /** Exactly [tokens] tokens of ASCII text that starts with [label], so that different labels differ early. */
        fun filler(
            label: String,
            tokens: Int,
        ): String {
            val bytes = tokens * BYTES_PER_TOKEN
            val random = Random(label.hashCode())
            val text = StringBuilder(bytes + BYTES_PER_TOKEN).append(label).append(' ')
            while (text.length < bytes) text.append(random.nextInt().toUInt().toString(RADIX)).append(' ')
            return text.substring(0, bytes)
        }

        const val RADIX: Int = 36
    }
}
