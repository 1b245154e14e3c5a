package lacewingweir.state.rollout

import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.bundle.EndpointKind
import lacewingweir.state.bundle.Model
import lacewingweir.state.bundle.RolloutLimits
import lacewingweir.state.id.BundleNumber
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.WeightsVersion
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.random.Random

internal class RolloutPlannerTest {
    private val model = ModelName("m")
    private val wanted = WeightsVersion("v2")

    private fun bundle(
        engines: Map<String, List<String>>,
        loads: Int = 2,
    ): Bundle =
        Bundle(
            BundleNumber(1),
            emptyList(),
            engines.values
                .flatten()
                .distinct()
                .map { Model(ModelName(it), wanted) },
            engines.map { (id, models) ->
                val names = models.map(::ModelName)
                Endpoint(EndpointId(id), EndpointKind.ENGINE, "127.0.0.1", 1, FailureDomain("d"), names)
            },
            emptyList(),
            RolloutLimits(loads),
        )

    private fun report(
        weights: String,
        loading: Boolean = false,
        leaving: Boolean = false,
    ): EngineReport = EngineReport(leaving, mapOf(model to ModelReport(WeightsVersion(weights), loading)))

    private fun plan(
        loads: Int,
        vararg reports: Pair<String, EngineReport?>,
    ): List<String> {
        val known = reports.mapNotNull { (id, report) -> report?.let { EndpointId(id) to it } }.toMap()
        return RolloutPlanner.plan(bundle(reports.associate { it.first to listOf("m") }, loads), known).map {
            it.engine.value
        }
    }

    // Guards against taking the last serving engine, also when the others are leaving, loading or silent.
    @Test
    fun `the last serving engine is kept`() {
        expectThat(plan(9, "a" to report("v1"), "b" to report("v1"))).isEqualTo(listOf("a"))
        expectThat(plan(9, "a" to report("v1"), "b" to report("v2", loading = true))).isEmpty()
        expectThat(plan(9, "a" to report("v1"), "b" to report("v2", leaving = true))).isEmpty()
        expectThat(plan(9, "a" to report("v1"), "b" to null)).isEmpty()
        expectThat(plan(9, "a" to report("v1"), "b" to report("v2"))).isEqualTo(listOf("a"))
        expectThat(plan(9, "a" to report("v1"))).isEqualTo(listOf("a"))
    }

    @Test
    fun `idle engines come first and loads in progress count`() {
        val idle = EngineReport(false, emptyMap())
        expectThat(plan(2, "a" to report("v1"), "b" to report("v2"), "c" to idle, "d" to idle))
            .isEqualTo(listOf("c", "d"))
        expectThat(plan(2, "a" to report("v1"), "b" to report("v2"), "c" to report("v2", loading = true), "d" to idle))
            .isEqualTo(listOf("d"))
        // A late command of a former leader: the wrong load is replaced although no place is free.
        expectThat(plan(1, "a" to report("v1", loading = true), "b" to report("v1"))).isEqualTo(listOf("a"))
    }

    // Guards against a plan that breaks a limit on the way or never ends, with engines that come back empty.
    @Test
    fun `random fleets reach the wanted weights within the limits`() {
        val seed = System.nanoTime()
        println("seed $seed")
        val random = Random(seed)
        repeat(200) {
            val names = listOf("m", "n")
            val engines = (1..random.nextInt(2, 8)).associate { "e$it" to names.filter { random.nextInt(3) > 0 } }
            val loads = random.nextInt(1, 4)
            converge(bundle(engines, loads), random)
        }
    }

    private fun converge(
        bundle: Bundle,
        random: Random,
    ) {
        val old = ModelReport(WeightsVersion("v1"), false)
        val reports =
            bundle.endpoints.associateTo(HashMap()) { e -> e.id to EngineReport(false, e.models.associateWith { old }) }
        var passes = 0
        while (reports.values.any { r -> r.models.values.any { it.weights != wanted || it.loading } }) {
            expectThat(passes++).isLessThanOrEqualTo(200)
            for (order in RolloutPlanner.plan(bundle, reports)) {
                val report = reports.getValue(order.engine)
                val change = order.model to ModelReport(order.weights, true)
                reports[order.engine] = report.copy(models = report.models + change)
            }
            expectThat(reports.values.count { it.loading }).isLessThanOrEqualTo(bundle.rollout.maxConcurrentLoads)
            for (model in bundle.models.map { it.name }) {
                val named = bundle.endpoints.filter { model in it.models }
                val serving = named.count { reports.getValue(it.id).serves(model) }
                expectThat(named.size == 1 || serving > 0).isTrue()
            }
            val loading = reports.filterValues { it.loading }
            expectThat(loading.size).isGreaterThan(0)
            for ((id, report) in loading) {
                if (random.nextBoolean()) continue
                reports[id] = report.copy(models = report.models.mapValues { it.value.copy(loading = false) })
            }
        }
    }
}
