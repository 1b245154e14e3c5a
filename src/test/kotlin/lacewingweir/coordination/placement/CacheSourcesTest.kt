package lacewingweir.coordination.placement

import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.SoftwareVersion
import lacewingweir.state.id.WeightsNumber
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.random.Random

internal class CacheSourcesTest {
    private fun engine(
        number: Int,
        random: Random,
    ) = EndpointState(
        EndpointEntry(
            id = EndpointId("e$number"),
            service = ServiceName("s"),
            host = "127.0.0.1",
            port = 1,
            domain = FailureDomain("d"),
            slots = 4,
            leaving = false,
            startedAtUnixMillis = 0,
            weights = mapOf(ModelName("m") to WeightsNumber(random.nextLong(1, 3))),
            software = SoftwareVersion("v${random.nextInt(2)}").takeIf { random.nextInt(10) > 0 },
        ),
        memoryTokens = 1_000,
    )

    private fun bestSource(
        state: EndpointState,
        cached: Map<EndpointState, Double>,
    ) = cached.keys
        .filter { it !== state && it.weights() == state.weights() && it.entry.software != null }
        .filter { it.entry.software == state.entry.software && cached.getValue(it) >= MIN_TOKENS }
        .maxOfOrNull(cached::getValue)

    /** Guards against copies between engines that don't fit together, and from engines that cache less than others. */
    @Test
    fun `the source of each engine is the best of all others that fit`() {
        repeat(200) { seed ->
            val random = Random(seed)
            val cached = List(random.nextInt(1, 60)) { engine(it, random) }.associateWith { random.nextDouble(900.0) }
            val sources = CacheSources(cached, MIN_TOKENS)
            for (state in cached.keys) {
                expectThat(sources.sourceFor(state)?.let(cached::getValue))
                    .describedAs("source of ${state.entry.id} with seed $seed")
                    .isEqualTo(bestSource(state, cached))
            }
        }
    }

    private companion object {
        const val MIN_TOKENS = 200.0
    }
}
