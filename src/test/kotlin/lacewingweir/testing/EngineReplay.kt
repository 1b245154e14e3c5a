package lacewingweir.testing

import lacewingweir.coordination.gossip.InstanceDigest
import lacewingweir.coordination.placement.EndpointTracker
import lacewingweir.coordination.placement.PlacementRequest
import lacewingweir.coordination.placement.ReservationOutcome
import lacewingweir.coordination.placement.WeightsAgePolicy
import lacewingweir.state.fleet.Prompt
import lacewingweir.state.fleet.PromptPart
import lacewingweir.state.id.EndpointId
import lacewingweir.state.time.SuspendAwareClock
import java.util.PriorityQueue
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.random.asJavaRandom

/**
 * Replays the load of the largest uneven deployment on the trackers of [instances] instances, without a network.
 *
 * Engine `e<n>` processes prompts one after the other at `speeds[n]` tokens per millisecond. Digests are sent every
 * second and arrive 0.2 s later, so views are 0.7 s old on average.
 */
internal class EngineReplay(
    private val speeds: DoubleArray,
    learnSpeeds: Boolean,
    seed: Int,
    private val instances: Int = 82,
) {
    private val random = Random(seed)
    private val timers = ManualTimers()
    private val fleet = engineFleet(*Array(speeds.size) { "e$it" })
    private val trackers =
        List(instances) {
            EndpointTracker(
                timers,
                FLEET_DOMAIN,
                WeightsAgePolicy(SuspendAwareClock(timers, { 0 })) { 8_000 },
                Random(seed * 1_000 + it),
                learnSpeeds = learnSpeeds,
            ).also { tracker -> tracker.onFleet(fleet) }
        }

    private class Event(
        val atMillis: Double,
        val run: () -> Unit,
    )

    private val events = PriorityQueue<Event>(compareBy { it.atMillis })
    private val freeAtMillis = DoubleArray(speeds.size)
    private var now = 0
    private var prompts = 0

    /** The engines chosen so far, in order. */
    val choices = ArrayList<EndpointId>()

    /** Times to first token of the short prompts that [run] has counted, and of the long ones. */
    val shortMillis = ArrayList<Double>()
    val longMillis = ArrayList<Double>()

    /** The speeds that the first instance has learned. */
    val learned
        get() = trackers[0].speedFigures().values.first()

    /** Runs the load for [millis] milliseconds and counts prompts from [warmUpMillis] on. */
    fun run(
        millis: Int,
        warmUpMillis: Int,
    ) {
        while (now < millis) {
            timers.advance(1)
            now++
            while (events.isNotEmpty() && events.peek().atMillis <= now) events.poll().run()
            for (instance in 0 until instances) {
                if ((now + instance * 12) % DIGEST_MILLIS == 0) sendDigest(instance)
            }
            val counted = now >= warmUpMillis
            if (random.nextDouble() < LONG_PER_SECOND / 1_000.0) {
                place(tokens(LONG_TOKENS, LONG_SIGMA), longMillis.takeIf { counted })
            }
            if (random.nextDouble() < SHORT_PER_SECOND / 1_000.0) {
                place(tokens(SHORT_TOKENS, SHORT_SIGMA), shortMillis.takeIf { counted })
            }
        }
    }

    /** Returns a random size with the mean [mean] of a log-normal distribution. */
    private fun tokens(
        mean: Double,
        sigma: Double,
    ) = exp(
        ln(mean) - sigma * sigma / 2 + sigma * random.asJavaRandom().nextGaussian(),
    ).coerceIn(100.0, 80_000.0).toInt()

    private fun place(
        tokens: Int,
        latencies: MutableList<Double>?,
    ) {
        val prompt = Prompt(FLEET_MODEL, tokens.toLong(), 100, listOf(PromptPart("p${prompts++}", tokens)))
        val request = PlacementRequest(FLEET_SERVICE, prompt, null, emptySet())
        val reservation = trackers[random.nextInt(instances)].place(request) ?: return
        choices += reservation.endpoint.id
        val engine =
            reservation.endpoint.id.value
                .drop(1)
                .toInt()
        val firstEvent = maxOf(freeAtMillis[engine], now.toDouble()) + tokens / speeds[engine]
        freeAtMillis[engine] = firstEvent
        latencies?.add(firstEvent - now + SEND_MILLIS)
        events += Event(firstEvent + SEND_MILLIS) { reservation.onFirstEvent() }
        events += Event(firstEvent + SEND_MILLIS + DECODE_MILLIS) { reservation.end(ReservationOutcome.SERVED) }
    }

    private fun sendDigest(from: Int) {
        val tracker = trackers[from]
        val digest =
            InstanceDigest(
                "i$from",
                1,
                now.toLong(),
                DIGEST_MILLIS.toLong(),
                emptyMap(),
                tracker.ownLoads(),
                emptyList(),
                speeds = tracker.takeSpeeds(),
            )
        events +=
            Event(now + DIGEST_DELAY_MILLIS) { for (peer in trackers) if (peer !== tracker) peer.onDigest(digest) }
    }

    private companion object {
        const val LONG_PER_SECOND = 88
        const val SHORT_PER_SECOND = 352
        const val LONG_TOKENS = 12_000.0
        const val LONG_SIGMA = 1.0
        const val SHORT_TOKENS = 2_400.0
        const val SHORT_SIGMA = 0.5
        const val DECODE_MILLIS = 400.0
        const val SEND_MILLIS = 5.0
        const val DIGEST_MILLIS = 1_000
        const val DIGEST_DELAY_MILLIS = 200.0
    }
}
