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
    private val requiredWeights = WeightsVersion("v2")

    private fun bundle(
        engines: Map<String, List<String>>,
        maxLoads: Int = 2,
    ): Bundle =
        Bundle(
            BundleNumber(1),
            emptyList(),
            engines.values
                .flatten()
                .distinct()
                .map { Model(ModelName(it), requiredWeights) },
            engines.map { (id, models) ->
                val names = models.map(::ModelName)
                Endpoint(EndpointId(id), EndpointKind.ENGINE, "127.0.0.1", 1, FailureDomain("d"), names)
            },
            emptyList(),
            RolloutLimits(maxLoads),
        )

    private fun report(
        weights: String,
        loading: Boolean = false,
        leaving: Boolean = false,
    ): EngineReport = EngineReport(leaving, mapOf(model to ModelReport(WeightsVersion(weights), loading)))

    private fun plan(
        maxLoads: Int,
        vararg reports: Pair<String, EngineReport?>,
    ): List<String> {
        val known = reports.mapNotNull { (id, report) -> report?.let { EndpointId(id) to it } }.toMap()
        return RolloutPlanner.plan(bundle(reports.associate { it.first to listOf("m") }, maxLoads), known).map {
            it.engine.value
        }
    }

    // Guards against loading on the last serving engine, also when the others are leaving, loading or unreachable.
    @Test
    fun `the last serving engine keeps serving`() {
        expectThat(plan(9, "a" to report("v1"), "b" to report("v1"))).isEqualTo(listOf("a"))
        expectThat(plan(9, "a" to report("v1"), "b" to report("v2", loading = true))).isEmpty()
        expectThat(plan(9, "a" to report("v1"), "b" to report("v2", leaving = true))).isEmpty()
        expectThat(plan(9, "a" to report("v1"), "b" to null)).isEmpty()
        expectThat(plan(9, "a" to report("v1"), "b" to report("v2"))).isEqualTo(listOf("a"))
        expectThat(plan(9, "a" to report("v1"))).isEqualTo(listOf("a"))
    }

    @Test
    fun `engines that do not serve come first and loads in progress count`() {
        val idle = EngineReport(false, emptyMap())
        expectThat(plan(2, "a" to report("v1"), "b" to report("v2"), "c" to idle, "d" to idle))
            .isEqualTo(listOf("c", "d"))
        expectThat(plan(2, "a" to report("v1"), "b" to report("v2"), "c" to report("v2", loading = true), "d" to idle))
            .isEqualTo(listOf("d"))
        // A load of other weights by a late command of a previous leader is replaced although the limit is reached.
        expectThat(plan(1, "a" to report("v1", loading = true), "b" to report("v1"))).isEqualTo(listOf("a"))
    }

    // Guards against plans that exceed a limit while they are carried out, or that never converge.
    @Test
    fun `random fleets converge to the required weights within the limits`() {
        val seed = System.nanoTime()
        println("seed $seed")
        val random = Random(seed)
        repeat(200) {
            val names = listOf("m", "n")
            val engines = (1..random.nextInt(2, 8)).associate { "e$it" to names.filter { random.nextInt(3) > 0 } }
            val maxLoads = random.nextInt(1, 4)
            converge(bundle(engines, maxLoads), random)
        }
    }

    private fun converge(
        bundle: Bundle,
        random: Random,
    ) {
        val initial = ModelReport(WeightsVersion("v1"), false)
        val reports =
            bundle.endpoints.associateTo(HashMap()) { e ->
                e.id to
                    EngineReport(false, e.models.associateWith { initial })
            }
        var passes = 0
        while (reports.values.any { r -> r.models.values.any { it.weights != requiredWeights || it.loading } }) {
            expectThat(passes++).isLessThanOrEqualTo(200)
            for (load in RolloutPlanner.plan(bundle, reports)) {
                val report = reports.getValue(load.engine)
                val change = load.model to ModelReport(load.weights, true)
                reports[load.engine] = report.copy(models = report.models + change)
            }
            expectThat(reports.values.count { it.loading }).isLessThanOrEqualTo(bundle.rollout.maxConcurrentLoads)
            for (model in bundle.models.map { it.name }) {
                val configured = bundle.endpoints.filter { model in it.models }
                val serving = configured.count { reports.getValue(it.id).serves(model) }
                expectThat(configured.size == 1 || serving > 0).isTrue()
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
