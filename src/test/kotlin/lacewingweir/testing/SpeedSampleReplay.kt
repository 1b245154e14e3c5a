package lacewingweir.testing

import lacewingweir.state.id.EndpointTag
import lacewingweir.state.placement.EndpointSpeeds
import java.util.PriorityQueue
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.random.asJavaRandom

/** What is unusual about the load or the engines of a [SpeedSampleReplay]. */
internal enum class Disturbance { NONE, BURSTS, HERDS, SLOW_PHASES }

/**
 * Replays the samples that an instance receives of the engines of a service: `speeds[n]` tokens per millisecond.
 *
 * Engines process prompts one after the other. A fifth of the prompts are long. Instances choose the engine with the
 * least backlog as of their last digests, unless the home engine of a shared prefix has little. A sample's tokens are
 * wrong where a prefix was evicted or is cached without the instance's knowledge, one in ten prompts gives no sample,
 * and one in fifty digests is lost. Digests are sent every 0.6 to 1.2 s and arrive 0.1 s later.
 *
 * [load] is the share of the time in which engines work.
 */
internal class SpeedSampleReplay(
    private val speeds: DoubleArray,
    private val instances: Int,
    load: Double,
    private val disturbance: Disturbance,
    seed: Int,
) {
    private class Sample(
        val engine: Int,
        val tokens: Double,
        val startMillis: Double,
        val endMillis: Double,
    )

    private val random = Random(seed)
    private val promptsPerMilli = load * speeds.sum() / MEAN_TOKENS
    private val freeAtMillis = DoubleArray(speeds.size)
    private val slowUntilMillis = DoubleArray(speeds.size)
    private val views = ArrayDeque<DoubleArray>()
    private val pending = List(instances) { PriorityQueue<Sample>(compareBy { it.endMillis }) }
    private val digestAtMillis = DoubleArray(instances) { random.nextDouble(MAX_DIGEST_MILLIS) }
    private val homes = IntArray(PREFIXES) { random.nextInt(speeds.size) }
    private val tags = List(speeds.size) { EndpointTag(it) }
    private val learned = EndpointSpeeds(TYPICAL_TOKENS, serial = true).also { it.retain(tags.toSet()) }

    /** Runs for [millis] and returns the time from which the service counted as uneven, or null if it never did. */
    fun unevenAt(millis: Int): Int? {
        for (now in 0 until millis) {
            if (now % VIEW_MILLIS == 0) rememberBacklogs(now)
            if (disturbance == Disturbance.SLOW_PHASES && now % SLOW_MILLIS == 0) startSlowPhases(now)
            val rate = if (disturbance == Disturbance.BURSTS) promptsPerMilli * burstFactor(now) else promptsPerMilli
            var due = rate
            while (due > 0.0) {
                if (random.nextDouble() < due) place(now)
                due--
            }
            for (instance in 0 until instances) if (now >= digestAtMillis[instance]) sendDigest(instance, now)
            if (now % CHECK_MILLIS == 0 && learned.isUneven(now.toLong())) return now
        }
        return null
    }

    private fun burstFactor(now: Int) = if (now % BURST_PERIOD_MILLIS < BURST_MILLIS) 2.5 else 0.5

    private fun rememberBacklogs(now: Int) {
        views.addFirst(DoubleArray(speeds.size) { (freeAtMillis[it] - now).coerceAtLeast(0.0) })
        if (views.size > VIEWS) views.removeLast()
    }

    private fun startSlowPhases(now: Int) {
        val slow = speeds.indices.shuffled(random).take((speeds.size / 10).coerceAtLeast(1))
        for (engine in slow) slowUntilMillis[engine] = (now + SLOW_MILLIS).toDouble()
    }

    private fun chosenEngine(now: Int): Int {
        if (disturbance == Disturbance.HERDS && now % HERD_PERIOD_MILLIS < HERD_MILLIS) {
            return now / HERD_PERIOD_MILLIS * 7 % speeds.size
        }
        val view = views[random.nextInt(views.size)]
        val home = homes[random.nextInt(PREFIXES)]
        if (view[home] < HOME_BACKLOG_MILLIS && random.nextInt(2) == 0) return home
        val first = random.nextInt(speeds.size)
        return (speeds.indices).minBy { view[(it + first) % speeds.size] }.let { (it + first) % speeds.size }
    }

    private fun place(now: Int) {
        val engine = chosenEngine(now)
        val isLong = random.nextInt(5) == 0
        val all = if (isLong) randomTokens(12_000.0, 1.0) else randomTokens(2_400.0, 0.5)
        val shared = minOf(all * 0.9, if (isLong) 5_382.0 else 568.0)
        val assumed = if (random.nextInt(5) > 0) all - shared else all
        val actual =
            if (random.nextInt(10) > 0) {
                assumed
            } else if (assumed == all) {
                all - shared
            } else {
                all
            }
        val slowness = if (now < slowUntilMillis[engine]) SLOWNESS else 1.0
        val start = maxOf(freeAtMillis[engine], now.toDouble())
        freeAtMillis[engine] = start + actual / speeds[engine] * slowness
        if (assumed < MIN_TOKENS || random.nextInt(10) == 0) return
        val delay = random.nextDouble(2.0, 15.0)
        pending.random(random) += Sample(engine, assumed, now.toDouble(), freeAtMillis[engine] + delay)
    }

    private fun randomTokens(
        mean: Double,
        sigma: Double,
    ) = exp(ln(mean) - sigma * sigma / 2 + sigma * random.asJavaRandom().nextGaussian()).coerceIn(100.0, 80_000.0)

    /** Delivers the samples of an instance that have ended before its digest was sent, 0.1 s ago. */
    private fun sendDigest(
        instance: Int,
        now: Int,
    ) {
        digestAtMillis[instance] = now + random.nextDouble(MIN_DIGEST_MILLIS, MAX_DIGEST_MILLIS)
        val ended = pending[instance]
        val lost = random.nextInt(50) == 0
        var sent = 0
        while (ended.isNotEmpty() && ended.peek().endMillis <= now - DIGEST_DELAY_MILLIS) {
            val sample = ended.poll()
            if (lost || sent++ >= MAX_SAMPLES) continue
            val millis = (sample.endMillis - sample.startMillis).toInt() / 4 * 4 - SEND_MILLIS
            val work = (sample.tokens / UNIT_TOKENS).toInt() * UNIT_TOKENS
            learned.observe(tags[sample.engine], work, maxOf(millis, 4.0), sample.endMillis.toLong(), now.toLong())
        }
    }

    private companion object {
        const val MEAN_TOKENS = 3_450.0
        const val TYPICAL_TOKENS = 4_000.0
        const val UNIT_TOKENS = 64.0
        const val MIN_TOKENS = 500.0
        const val MAX_SAMPLES = 64
        const val SEND_MILLIS = 5.0
        const val PREFIXES = 40
        const val HOME_BACKLOG_MILLIS = 200.0
        const val MIN_DIGEST_MILLIS = 600.0
        const val MAX_DIGEST_MILLIS = 1_200.0
        const val DIGEST_DELAY_MILLIS = 100
        const val VIEW_MILLIS = 100
        const val VIEWS = 12
        const val CHECK_MILLIS = 100
        const val BURST_PERIOD_MILLIS = 4_000
        const val BURST_MILLIS = 1_000
        const val HERD_PERIOD_MILLIS = 1_000
        const val HERD_MILLIS = 100
        const val SLOW_MILLIS = 5_000
        const val SLOWNESS = 4.0
    }
}
