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
    private val speed = 60.0
    private val fetchMillis = 0.005

    private fun engine(
        name: String,
        backlog: Double = 0.0,
        held: Double = 0.0,
        fetchable: Double = 0.0,
        penalty: Double = 0.0,
        running: Double = 0.0,
        memory: Double = 0.0,
    ) = EngineView(
        EndpointId(name),
        backlog,
        running,
        slots = 48,
        memoryShare = memory,
        heldTokens = held,
        fetchableTokens = fetchable,
        penaltyMillis = penalty,
    )

    private fun choose(
        query: PromptQuery,
        vararg engines: EngineView,
    ) = chooseEngine(query, engines.toList(), speed, fetchMillis)

    @Test
    fun `no engines give no place`() {
        expectThat(choose(PromptQuery(1_000.0, 0.0, null))).isNull()
    }

    @Test
    fun `an engine that holds the prompt's beginning wins until its backlog costs more`() {
        val query = PromptQuery(6_000.0, 5_000.0, null)
        expectThat(choose(query, engine("a"), engine("b", held = 5_000.0))?.engine).isEqualTo(EndpointId("b"))
        expectThat(
            choose(query, engine("a"), engine("b", held = 5_000.0, backlog = 6_000.0))?.engine,
        ).isEqualTo(EndpointId("a"))
    }

    @Test
    fun `copying from the holder beats reading again`() {
        val choice = choose(PromptQuery(6_000.0, 5_000.0, null), engine("a", fetchable = 5_000.0))
        expectThat(choice).isNotNull().get { uncachedTokens }.isEqualTo(1_000.0)
    }

    /**
     * Load pattern: one beginning gets a third of the traffic. All of it on one engine would make that engine late.
     */
    @Test
    fun `a hot beginning spreads before its home engine is late`() {
        val query = PromptQuery(2_000.0, 1_500.0, sharedHash = 42)
        val backlogs = HashMap<String, Double>().apply { repeat(6) { put("e$it", 0.0) } }
        val used = HashSet<EndpointId>()
        repeat(30) {
            val views = backlogs.map { (name, backlog) -> engine(name, backlog = backlog) }
            val choice = chooseEngine(query, views, speed, fetchMillis)!!
            used += choice.engine
            backlogs.merge(choice.engine.value, choice.uncachedTokens, Double::plus)
        }
        expectThat(used.size).isGreaterThan(3)
    }

    @Test
    fun `full memory and full slots repel`() {
        val query = PromptQuery(1_000.0, 0.0, null)
        expectThat(choose(query, engine("a", memory = 1.0), engine("b"))?.engine).isNotEqualTo(EndpointId("a"))
        expectThat(choose(query, engine("a", running = 60.0), engine("b"))?.engine).isNotEqualTo(EndpointId("a"))
    }

    @Test
    fun `cached parts are forgotten in order of use when they exceed the engine`() {
        val cached = CachedPrefixes(capacityTokens = 250)
        cached.read(longArrayOf(1, 2), intArrayOf(100, 100))
        cached.read(longArrayOf(1, 3), intArrayOf(100, 100))
        expectThat(cached.held(longArrayOf(1, 3), intArrayOf(100, 100))).isEqualTo(200.0)
        expectThat(cached.held(longArrayOf(1, 2), intArrayOf(100, 100))).isEqualTo(100.0)
    }
}
