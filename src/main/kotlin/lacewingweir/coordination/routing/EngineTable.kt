package lacewingweir.coordination.routing

import lacewingweir.coordination.bundle.BundleSource
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.bundle.EndpointKind
import lacewingweir.state.id.EndpointId

/** The records of all engines, and which engines may serve a request. Guarded by the scheduler's lock. */
internal class EngineTable(
    private val bundles: BundleSource,
    private val leaving: LeavingEndpoints,
) {
    private val engines = HashMap<EndpointId, EngineRecord>()

    /** Engines that are ejected at [nowMillis]. */
    fun ejected(nowMillis: Long): List<EndpointId> =
        engines.filterValues { it.health.isEjected(nowMillis) }.keys.toList()

    /**
     * Engines that may serve the request. If more than half of them are ejected, those whose ejection ends first are
     * used again, since a fault of so many is likelier on this side or common to all.
     */
    fun candidates(
        bundle: Bundle,
        request: ScheduleRequest,
        nowMillis: Long,
    ): List<Endpoint> {
        val serving =
            bundle.endpoints.filter {
                it.kind == EndpointKind.ENGINE && request.model.name in it.models && !isLeaving(it.id, nowMillis)
            }
        val healthy = serving.filter { !record(it.id).health.isEjected(nowMillis) }
        val needed = (serving.size + 1) / 2
        val usable =
            if (healthy.size >= needed) {
                healthy
            } else {
                serving.sortedBy { record(it.id).health.ejectedUntilMillis }.take(needed)
            }
        // Once every engine has failed a request, another try on one that may have come back beats giving up.
        return usable.filter { it.id !in request.excluded }.ifEmpty { usable }
    }

    private fun isLeaving(
        endpoint: EndpointId,
        nowMillis: Long,
    ): Boolean = leaving.isLeaving(endpoint) || record(endpoint).leavingUntilMillis > nowMillis

    /** The record of [endpoint], made on first use. */
    fun record(endpoint: EndpointId): EngineRecord =
        engines.getOrPut(endpoint) {
            EngineRecord(prefixesPerEngine())
        }

    /** The bound for all engines together, divided among the engines that the bundle has when a record is made. */
    private fun prefixesPerEngine(): Int {
        val engineCount = bundles.current()?.endpoints?.count { it.kind == EndpointKind.ENGINE } ?: 0
        return (MAX_KNOWN_PREFIXES / maxOf(engineCount, 1)).coerceIn(MIN_PREFIXES_PER_ENGINE, MAX_PREFIXES_PER_ENGINE)
    }

    private companion object {
        /** An entry takes about 100 bytes, so all engines together stay near 20 MB; see docs/CAPACITY.md. */
        const val MAX_KNOWN_PREFIXES: Int = 200_000
        const val MAX_PREFIXES_PER_ENGINE: Int = 4_096
        const val MIN_PREFIXES_PER_ENGINE: Int = 64
    }
}
