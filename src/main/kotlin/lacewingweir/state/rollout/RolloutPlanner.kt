/** Decisions about which engine loads which weights. */
package lacewingweir.state.rollout

import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.bundle.EndpointKind
import lacewingweir.state.bundle.Model
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.ModelName

/**
 * Compares reported weights with the bundle and orders loads.
 *
 * The decision depends only on the bundle and the present reports, so that it repairs whatever a lost or a late
 * command has left behind. Engines without a report get no order.
 */
public object RolloutPlanner {
    /**
     * The loads to begin now.
     *
     * At most `maxConcurrentLoads` engines load at the same time, counting those that report a load. An engine that
     * serves a model gets an order only if another engine goes on serving it, in any version; the single engine that
     * the bundle names for a model is exempt, since nothing else could ever serve the right version. Engines that
     * don't serve come first. A leaving engine and one that loads another model get no order. An engine that loads
     * the wrong version is ordered at once: it occupies its place among the concurrent loads already.
     */
    public fun plan(
        bundle: Bundle,
        reports: Map<EndpointId, EngineReport>,
    ): List<PlannedLoad> = Pass(bundle, reports).run()

    private class Candidate(
        val order: PlannedLoad,
        val report: EngineReport,
    ) {
        val serving: Boolean = report.serves(order.model)
    }

    private class Pass(
        private val bundle: Bundle,
        private val reports: Map<EndpointId, EngineReport>,
    ) {
        private val engines = bundle.endpoints.filter { it.kind == EndpointKind.ENGINE }
        private val orders = mutableListOf<PlannedLoad>()
        private val ordered = mutableSetOf<EndpointId>()
        private var freeLoads = bundle.rollout.maxConcurrentLoads - reports.values.count { it.loading }

        fun run(): List<PlannedLoad> {
            bundle.models
                .flatMap(::candidates)
                .sortedWith(compareBy({ it.serving }, { it.order.engine.value }, { it.order.model.value }))
                .forEach(::consider)
            return orders
        }

        private fun candidates(model: Model): List<Candidate> =
            enginesOf(model.name).mapNotNull { engine ->
                val report = reports[engine.id]
                val current = report?.models?.get(model.name)
                when {
                    report == null || report.leaving || current?.weights == model.weights -> null
                    report.loading && current?.loading != true -> null
                    else -> Candidate(PlannedLoad(engine.id, model.name, model.weights), report)
                }
            }

        private fun enginesOf(model: ModelName): List<Endpoint> = engines.filter { model in it.models }

        private fun consider(candidate: Candidate) {
            val order = candidate.order
            if (order.engine in ordered) return
            val needsPlace = !candidate.report.loading
            if (needsPlace && freeLoads <= 0) return
            if (candidate.serving && !othersServe(order)) return
            if (needsPlace) freeLoads--
            ordered.add(order.engine)
            orders.add(order)
        }

        private fun othersServe(order: PlannedLoad): Boolean {
            val named = enginesOf(order.model)
            val others = named.filter { it.id != order.engine && it.id !in ordered }
            return named.size == 1 || others.any { reports[it.id]?.serves(order.model) == true }
        }
    }
}
