package lacewingweir.load

import java.util.concurrent.ConcurrentHashMap
import kotlin.math.pow
import kotlin.random.Random

/** Generates prompts from a [PromptTree]. The text of a node depends only on its path and is equal in all runs. */
public class PromptGenerator(
    private val tree: PromptTree,
) {
    private val textByPath = ConcurrentHashMap<String, String>()
    private val rankDistributions: List<DoubleArray> = tree.levels.map { level -> zipfDistribution(level.fanout) }

    /** Returns a random prompt at [elapsedSeconds] after the start. Its last [suffixTokens] tokens are unique text. */
    public fun next(
        random: Random,
        elapsedSeconds: Double,
        suffixTokens: Int,
    ): String {
        val rotation = if (tree.shiftSeconds > 0) (elapsedSeconds / tree.shiftSeconds).toInt() else 0
        val prompt = StringBuilder()
        var path = tree.namespace
        for ((depth, level) in tree.levels.withIndex()) {
            val rank = sampleRank(rankDistributions[depth], random)
            val child = (rank + rotation * ROTATION_STEP) % level.fanout
            path = "$path/$child"
            prompt.append(nodeText(path, level.tokens))
        }
        prompt.append(filler("unique-${random.nextLong()}", suffixTokens))
        return prompt.toString()
    }

    private fun nodeText(
        path: String,
        tokens: Int,
    ): String = textByPath.computeIfAbsent(path) { filler(it, tokens) }

    private fun zipfDistribution(count: Int): DoubleArray {
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

    private fun sampleRank(
        cumulative: DoubleArray,
        random: Random,
    ): Int {
        val index = cumulative.asList().binarySearch(random.nextDouble())
        return (if (index >= 0) index else -index - 1).coerceAtMost(cumulative.size - 1)
    }

    private companion object {
        const val BYTES_PER_TOKEN: Int = 4
        const val ROTATION_STEP: Int = 3

        /** Returns ASCII text of [tokens] tokens that starts with [label], so that texts differ from the start. */
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
