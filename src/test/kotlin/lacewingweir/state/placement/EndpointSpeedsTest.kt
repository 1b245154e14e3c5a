package lacewingweir.state.placement

import lacewingweir.state.id.EndpointTag
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import kotlin.random.Random

internal class EndpointSpeedsTest {
    private val tags = List(6) { EndpointTag(it) }
    private val speeds = EndpointSpeeds(typicalWork = 4_000.0, serial = true).also { it.retain(tags.toSet()) }
    private var nowMillis = 0L
    private var ended = emptySet<EndpointTag>()

    /** Every endpoint finishes four requests a second of 4,000 tokens each. A request waits for up to 0.2 s before. */
    private fun run(
        millis: Int,
        speedOf: (Int) -> Double,
        lossShare: Double = 0.0,
        random: Random = Random(1),
    ) {
        repeat(millis / 250) {
            nowMillis += 250
            for ((n, tag) in tags.withIndex()) {
                if (tag in ended) continue
                if (random.nextDouble() >=
                    lossShare
                ) {
                    speeds.observe(tag, 4_000.0, 4_000 / speedOf(n), nowMillis, nowMillis)
                }
            }
        }
        speeds.isUneven(nowMillis)
    }

    private fun uneven(n: Int) = if (n < 3) 54.0 else 22.0

    /** Guards against speeds that seem lower the longer requests of other instances wait ahead. */
    @Test
    fun `waiting behind other requests doesn't lower the speed of an engine`() {
        repeat(40) {
            nowMillis += 1_000
            // Three requests of 200 ms each are sent at the same time, and the last one waits for 400 ms.
            for (n in 1..3) speeds.observe(tags[0], 4_000.0, n * 200.0, nowMillis - 600 + n * 200, nowMillis)
        }
        speeds.isUneven(nowMillis)
        expectThat(speeds.speed(tags[0])).isIn(19.0..21.0)
    }

    /** Guards against engines that are avoided long after a slow phase, or that get too much during one. */
    @Test
    fun `a slow phase is noticed and forgotten`() {
        run(20_000, ::uneven)
        run(5_000, { if (it == 0) 15.0 else uneven(it) })
        expectThat(speeds.speed(tags[0])).isLessThan(30.0)
        run(10_000, ::uneven)
        expectThat(speeds.speed(tags[0])).isGreaterThan(0.8 * uneven(0))
    }

    @Test
    fun `a single false sample has little effect`() {
        run(20_000, ::uneven)
        val before = speeds.speed(tags[5])
        speeds.observe(tags[5], 4_000.0, 16_000.0, nowMillis, nowMillis)
        speeds.observe(tags[4], 100_000.0, 4.0, nowMillis, nowMillis)
        run(500, ::uneven)
        expectThat(speeds.speed(tags[5])).isGreaterThan(before * 0.7)
        expectThat(speeds.speed(tags[0])).isGreaterThan(speeds.speed(tags[4]))
    }

    /** Guards against a restarted engine that is taken for what it was, and a new one that gets no requests. */
    @Test
    fun `a new or restarted endpoint starts at the middle of its service`() {
        run(20_000, ::uneven)
        val restarted = EndpointTag(100)
        ended = setOf(tags[0])
        speeds.retain(tags.toSet() - ended + restarted)
        run(500, ::uneven)
        expectThat(speeds.speed(restarted)).isEqualTo(speeds.middle)
        expectThat(speeds.isUneven(nowMillis)).isTrue()
    }

    @Test
    fun `lost digests lose only samples`() {
        run(20_000, ::uneven, lossShare = 0.5)
        expectThat(speeds.isUneven(nowMillis)).isTrue()
        expectThat(speeds.speed(tags[0])).isIn(45.0..60.0)
        expectThat(speeds.speed(tags[5])).isIn(18.0..26.0)
    }

    /** Guards against taking random call times of a plain service for different speeds. */
    @Test
    fun `endpoints with equally random call times are not uneven`() {
        val calls = EndpointSpeeds(typicalWork = 1.0, serial = false).also { it.retain(tags.toSet()) }
        val random = Random(1)
        repeat(4_000) {
            nowMillis += 50
            val millis = if (random.nextInt(10) == 0) 600.0 else 30.0
            calls.observe(tags.random(random), 1.0, millis, nowMillis, nowMillis)
            expectThat(calls.isUneven(nowMillis)).isFalse()
        }
    }

    @Test
    fun `requests of similar sizes are not split`() {
        val sizes = WorkSizes().apply { repeat(100) { add(2_000.0 + it) } }
        expectThat(sizes.split(0.5, 20.0)).isEqualTo(null)
        repeat(10) { sizes.add(20_000.0) }
        expectThat(sizes.split(0.45, 20.0)?.work ?: 0.0).isIn(2_500.0..20_000.0)
    }
}
