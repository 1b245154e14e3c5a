/** Planning of weight loads on engines. */
package lacewingweir.state.rollout

import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.bundle.EndpointKind
import lacewingweir.state.bundle.Model
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.ModelName

/**
 * Compares the reported weights with the bundle and plans loads.
 *
 * The plan depends only on the bundle and the current reports, so it repairs the effects of lost and late commands. No
 * load is planned for an engine without a report.
 */
public object RolloutPlanner {
    /**
     * Returns the loads to start now.
     *
     * At most `maxConcurrentLoads` engines load at the same time, including those that already report a load. A load is
     * planned for an engine that serves the model only if another engine continues to serve it, in any version. The
     * only engine that the bundle lists for a model is exempt, because otherwise the required version could never be
     * served. Engines that don't serve the model come first. No load is planned for an engine that is leaving or that
     * is loading another model. An engine that is loading the wrong version gets a new load immediately, because it
     * already counts as one of the concurrent loads.
     */
    public fun plan(
        bundle: Bundle,
        reports: Map<EndpointId, EngineReport>,
    ): List<PlannedLoad> = PlanBuilder(bundle, reports).build()

    private class Candidate(
        val load: PlannedLoad,
        val report: EngineReport,
    ) {
        val serving: Boolean = report.serves(load.model)
    }

    private class PlanBuilder(
        private val bundle: Bundle,
        private val reports: Map<EndpointId, EngineReport>,
    ) {
        private val engines = bundle.endpoints.filter { it.kind == EndpointKind.ENGINE }
        private val plannedLoads = mutableListOf<PlannedLoad>()
        private val plannedEngines = mutableSetOf<EndpointId>()
        private var freeLoads = bundle.rollout.maxConcurrentLoads - reports.values.count { it.loading }

        fun build(): List<PlannedLoad> {
            bundle.models
                .flatMap(::candidates)
                .sortedWith(compareBy({ it.serving }, { it.load.engine.value }, { it.load.model.value }))
                .forEach(::planIfAllowed)
            return plannedLoads
        }

        private fun candidates(model: Model): List<Candidate> =
            enginesFor(model.name).mapNotNull { engine ->
                val report = reports[engine.id]
                val current = report?.models?.get(model.name)
                when {
                    report == null || report.leaving || current?.weights == model.weights -> null
                    report.loading && current?.loading != true -> null
                    else -> Candidate(PlannedLoad(engine.id, model.name, model.weights), report)
                }
            }

        private fun enginesFor(model: ModelName): List<Endpoint> = engines.filter { model in it.models }

        private fun planIfAllowed(candidate: Candidate) {
            val load = candidate.load
            if (load.engine in plannedEngines) return
            val needsFreeLoad = !candidate.report.loading
            if (needsFreeLoad && freeLoads <= 0) return
            if (candidate.serving && !isServedElsewhere(load)) return
            if (needsFreeLoad) freeLoads--
            plannedEngines.add(load.engine)
            plannedLoads.add(load)
        }

        private fun isServedElsewhere(load: PlannedLoad): Boolean {
            val configured = enginesFor(load.model)
            val others = configured.filter { it.id != load.engine && it.id !in plannedEngines }
            return configured.size == 1 || others.any { reports[it.id]?.serves(load.model) == true }
        }
    }
}
