package lacewingweir.coordination.routing

import lacewingweir.coordination.bundle.BundleSource
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.bundle.EndpointKind
import lacewingweir.state.id.EndpointId

/**
 * Holds the records of all engines and selects the engines that may serve a request. Guarded by the scheduler's lock.
 */
internal class EngineTable(
    private val bundles: BundleSource,
    private val leaving: LeavingEndpoints,
) {
    private val engines = HashMap<EndpointId, EngineRecord>()

    /** Returns the engines that are ejected at [nowMillis]. */
    fun ejected(nowMillis: Long): List<EndpointId> =
        engines.filterValues { it.health.isEjected(nowMillis) }.keys.toList()

    /**
     * Returns the engines that may serve [request].
     *
     * At least half of the engines that serve the model stay in use: if too many are ejected, the engines whose
     * ejection ends first are returned too. When so many engines fail, the cause is more likely at this instance or
     * common to all engines.
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
        val minUsable = (serving.size + 1) / 2
        val usable =
            if (healthy.size >= minUsable) {
                healthy
            } else {
                serving.sortedBy { record(it.id).health.ejectedUntilMillis }.take(minUsable)
            }
        // After every engine has failed the request, all are tried again, because one may have recovered since.
        return usable.filter { it.id !in request.excluded }.ifEmpty { usable }
    }

    private fun isLeaving(
        endpoint: EndpointId,
        nowMillis: Long,
    ): Boolean = leaving.isLeaving(endpoint) || record(endpoint).leavingUntilMillis > nowMillis

    /** Returns the record of [endpoint], creating it on first use. */
    fun record(endpoint: EndpointId): EngineRecord =
        engines.getOrPut(endpoint) {
            EngineRecord(prefixesPerEngine())
        }

    /** Divides the bound for all engines by the number of engines in the bundle at the time a record is created. */
    private fun prefixesPerEngine(): Int {
        val engineCount = bundles.current()?.endpoints?.count { it.kind == EndpointKind.ENGINE } ?: 0
        return (MAX_KNOWN_PREFIXES / maxOf(engineCount, 1)).coerceIn(MIN_PREFIXES_PER_ENGINE, MAX_PREFIXES_PER_ENGINE)
    }

    private companion object {
        /** Bounds the memory for all engines together to about 20 MB, at about 100 bytes per entry. */
        const val MAX_KNOWN_PREFIXES: Int = 200_000
        const val MAX_PREFIXES_PER_ENGINE: Int = 4_096
        const val MIN_PREFIXES_PER_ENGINE: Int = 64
    }
}
