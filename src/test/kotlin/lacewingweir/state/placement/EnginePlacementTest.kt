package lacewingweir.state.placement

import lacewingweir.state.id.EndpointId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

internal class EnginePlacementTest {
    private val tokensPerMilli = 60.0
    private val copyMillisPerToken = 0.005

    private fun engine(
        name: String,
        backlog: Double = 0.0,
        cached: Double = 0.0,
        copyable: Double = 0.0,
        penalty: Double = 0.0,
        running: Double = 0.0,
        memory: Double = 0.0,
    ) = EngineView(
        EndpointId(name),
        backlog,
        running,
        slots = 48,
        memoryShare = memory,
        cachedTokens = cached,
        copyableTokens = copyable,
        penaltyMillis = penalty,
    )

    private fun choose(
        query: PromptQuery,
        vararg engines: EngineView,
    ) = chooseEngine(query, engines.toList(), tokensPerMilli, copyMillisPerToken)

    @Test
    fun `no engine is chosen from an empty list`() {
        expectThat(choose(PromptQuery(1_000.0, 0.0, null))).isNull()
    }

    @Test
    fun `an engine that caches the prompt's prefix is preferred until its backlog costs more`() {
        val query = PromptQuery(6_000.0, 5_000.0, null)
        expectThat(choose(query, engine("a"), engine("b", cached = 5_000.0))?.engine).isEqualTo(EndpointId("b"))
        expectThat(
            choose(query, engine("a"), engine("b", cached = 5_000.0, backlog = 6_000.0))?.engine,
        ).isEqualTo(EndpointId("a"))
    }

    @Test
    fun `tokens that can be copied from another engine need no prefill`() {
        val choice = choose(PromptQuery(6_000.0, 5_000.0, null), engine("a", copyable = 5_000.0))
        expectThat(choice).isNotNull().get { uncachedTokens }.isEqualTo(1_000.0)
    }

    /**
     * Guards against a hot prefix overloading its home engine, for example a prefix of a third of the requests.
     */
    @Test
    fun `requests with a hot prefix spread before its home engine is overloaded`() {
        val query = PromptQuery(2_000.0, 1_500.0, sharedHash = 42)
        val backlogs = HashMap<String, Double>().apply { repeat(6) { put("e$it", 0.0) } }
        val used = HashSet<EndpointId>()
        repeat(30) {
            val views = backlogs.map { (name, backlog) -> engine(name, backlog = backlog) }
            val choice = chooseEngine(query, views, tokensPerMilli, copyMillisPerToken)!!
            used += choice.engine
            backlogs.merge(choice.engine.value, choice.uncachedTokens, Double::plus)
        }
        expectThat(used.size).isGreaterThan(3)
    }

    @Test
    fun `engines with full memory or full slots are avoided`() {
        val query = PromptQuery(1_000.0, 0.0, null)
        expectThat(choose(query, engine("a", memory = 1.0), engine("b"))?.engine).isNotEqualTo(EndpointId("a"))
        expectThat(choose(query, engine("a", running = 60.0), engine("b"))?.engine).isNotEqualTo(EndpointId("a"))
    }

    @Test
    fun `the least recently used prefixes are evicted beyond the engine's capacity`() {
        val cached = CachedPrefixes(capacityTokens = 250)
        cached.recordPrefill(longArrayOf(1, 2), intArrayOf(100, 100))
        cached.recordPrefill(longArrayOf(1, 3), intArrayOf(100, 100))
        expectThat(cached.cachedTokens(longArrayOf(1, 3), intArrayOf(100, 100))).isEqualTo(200.0)
        expectThat(cached.cachedTokens(longArrayOf(1, 2), intArrayOf(100, 100))).isEqualTo(100.0)
    }
}
