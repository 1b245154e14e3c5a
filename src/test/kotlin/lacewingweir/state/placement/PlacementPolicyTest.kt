package lacewingweir.state.placement

import lacewingweir.state.id.EndpointId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNull
import kotlin.random.Random

internal class PlacementPolicyTest {
    private fun engine(
        name: String,
        cached: Double = 0.0,
        backlog: Double = 0.0,
        capacity: Boolean = true,
    ): EngineSnapshot =
        EngineSnapshot(
            id = EndpointId(name),
            slots = 8,
            runningRequests = 0.0,
            backlogTokens = backlog,
            cachedTokens = cached,
            prefillMillisPerToken = 0.05,
            hasCapacity = capacity,
        )

    private fun query(
        text: String,
        pieces: Int = 4,
    ): PlacementQuery {
        val prompt = text.repeat(2_000).take(pieces * 8_000)
        return PlacementQuery(PrefixChain.of("salt", prompt.toByteArray(), 8_000, 2_000), pieces * 2_000L)
    }

    private val idle = (1..6).map { engine("engine-$it") }

    // Guards against instances without shared state spreading one prefix over all engines.
    @Test
    fun `instances without known prefixes choose the same engine for the same prompt`() {
        val chosen = (1..50).map { prefixAwarePlacement(query("shared prefix "), idle, Random(it)) }.toSet()
        expectThat(chosen.size).isEqualTo(1)
    }

    @Test
    fun `different prompts spread over all engines`() {
        val counts =
            (1..600).groupingBy { prefixAwarePlacement(query("prompt $it "), idle, Random(it)) }.eachCount()
        expectThat(counts.size).isEqualTo(6)
        expectThat(counts.values.max()).isLessThan(160)
    }

    @Test
    fun `an engine known to cache the prefix is preferred to the home engine`() {
        val home = prefixAwarePlacement(query("p "), idle, Random(1))
        val other = idle.first { it.id != home }
        val engines = idle.map { if (it.id == other.id) it.copy(cachedTokens = 8_000.0) else it }
        expectThat(prefixAwarePlacement(query("p "), engines, Random(1))).isEqualTo(other.id)
    }

    // Guards against a hot prefix overloading its home engine.
    @Test
    fun `a home engine whose backlog costs more than prefill elsewhere is not chosen`() {
        val home = prefixAwarePlacement(query("p "), idle, Random(1))
        val engines = idle.map { if (it.id == home) it.copy(backlogTokens = 20_000.0) else it }
        expectThat(prefixAwarePlacement(query("p "), engines, Random(1)) != home).isEqualTo(true)
    }

    @Test
    fun `no policy chooses an engine without capacity`() {
        val full = idle.map { it.copy(hasCapacity = false) }
        for (policy in PlacementPolicies.all().values) {
            expectThat(policy(query("p "), full, Random(1))).isNull()
        }
    }

    // Guards against most prompts moving to other engines when one engine leaves.
    @Test
    fun `removing an engine moves only its own prompts`() {
        val remaining = idle.drop(1)
        val moved =
            (1..200).count { n ->
                val before = prefixAwarePlacement(query("prompt $n "), idle, Random(n))
                val after = prefixAwarePlacement(query("prompt $n "), remaining, Random(n))
                before != idle.first().id && before != after
            }
        expectThat(moved).isLessThan(10)
    }

    // Guards against sharing cache entries between customers.
    @Test
    fun `chains with different salts have no hash in common`() {
        val prompt = "same text ".repeat(4_000).toByteArray()
        val first = PrefixChain.of("customer-a", prompt, 8_000, 2_000)
        val second = PrefixChain.of("customer-b", prompt, 8_000, 2_000)
        expectThat(
            first.hashes
                .toSet()
                .intersect(second.hashes.toSet())
                .size,
        ).isEqualTo(0)
        expectThat(first.size).isGreaterThan(3)
    }
}
