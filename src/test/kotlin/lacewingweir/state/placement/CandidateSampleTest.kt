package lacewingweir.state.placement

import lacewingweir.state.id.EndpointId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.random.Random

internal class CandidateSampleTest {
    private val engines = List(42) { EndpointId("e$it") }

    /** Guards against 68 instances that all send to the engine that was idle in their last digests. */
    @Test
    fun `the more placements are unseen, the fewer engines are compared`() {
        expectThat(sampleSize(engines = 42, unseenPlacements = 0.0)).isEqualTo(42)
        expectThat(sampleSize(engines = 42, unseenPlacements = 5.0)).isEqualTo(7)
        expectThat(sampleSize(engines = 42, unseenPlacements = 200.0)).isEqualTo(3)
        expectThat(sampleSize(engines = 1, unseenPlacements = 200.0)).isEqualTo(1)
    }

    /** Guards against an idle engine that gets most requests of the fleet until the next digests. */
    @Test
    fun `no engine is in much more samples than others`() {
        val random = Random(1)
        val samples = List(4_200) { sampleCandidates(engines, emptySet(), size = 2, random) }
        for (engine in engines) {
            val share = samples.count { engine in it } / samples.size.toDouble()
            expectThat(share).isGreaterThan(0.5 * 2 / 42).isLessThan(1.5 * 2 / 42)
        }
    }

    /** Guards against reading a shared prefix again because the engine that caches it was not drawn. */
    @Test
    fun `engines that are kept are always compared`() {
        val home = EndpointId("e7")
        repeat(20) { expectThat(sampleCandidates(engines, setOf(home), size = 2, Random(it))).contains(home) }
        expectThat(sampleCandidates(engines.take(2), emptySet(), size = 2, Random(1)))
            .containsExactlyInAnyOrder(engines.take(2))
    }

    /** Guards against a popular prefix whose requests queue at one engine while others are idle. */
    @Test
    fun `a prefix has more home engines if its requests overload one`() {
        val single = homeEngines(sharedHash = 5, engines, load = 0.1)
        expectThat(single).hasSize(1)
        val several = homeEngines(sharedHash = 5, engines, load = 1.5)
        expectThat(several).hasSize(4)
        expectThat(several.first()).isEqualTo(single.single())
    }
}
