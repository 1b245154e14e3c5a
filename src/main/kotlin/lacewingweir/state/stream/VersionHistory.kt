/**
 * The software versions that the endpoints of each service have had lately.
 *
 * While a service has had one version for longer than a stream lasts, every stream of it began at that version, and
 * nothing needs to be known of single streams. What an instance has not observed itself, because it has just started,
 * it takes from the record of versions that the instances keep in the store.
 */
package lacewingweir.state.stream

import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.SoftwareVersion

/**
 * Not thread-safe; the owner synchronizes. Times are of the monotonic clock, except those named Unix.
 *
 * @property retentionMillis the longest time from the first event of a stream to its continuation
 */
internal class VersionHistory(
    private val retentionMillis: Long,
) {
    /** The end of the last endpoint of a version. [recorded] is whether the record in the store told when it was. */
    private class Departure(
        val atMillis: Long,
        val recorded: Boolean,
    )

    private var present: Map<ServiceName, List<EndpointEntry>> = emptyMap()
    private val departures = HashMap<ServiceName, HashMap<SoftwareVersion?, Departure>>()
    private var record: Set<ServedVersion> = emptySet()
    private var observedSinceMillis: Long? = null

    /** Applies the endpoints that are known now. */
    fun onEndpoints(
        endpoints: Collection<EndpointEntry>,
        nowMillis: Long,
    ) {
        val before = present
        present = endpoints.groupBy { it.service }
        for ((service, entries) in before) {
            val left = versions(entries) - versions(service)
            left.forEach { departuresOf(service)[it] = Departure(nowMillis, recorded = false) }
        }
        forgetOld(nowMillis)
        if (observedSinceMillis == null) observedSinceMillis = nowMillis
    }

    /**
     * Applies the record in the store, after the endpoints that are known at the same time.
     *
     * A version that should serve but doesn't has left unnoticed, at the latest just now. What this instance has seen
     * itself isn't changed.
     */
    fun onRecord(
        stored: Set<ServedVersion>,
        nowMillis: Long,
        nowUnixMillis: Long,
    ) {
        val added = stored - record
        record = stored
        forgetOld(nowMillis)
        for (row in added.filter { it.software !in versions(it.service) }) {
            val until = row.untilUnixMillis
            val ageMillis = if (until == null) 0 else maxOf(0, nowUnixMillis - until - CLOCK_DIFFERENCE_MILLIS)
            if (ageMillis > retentionMillis) continue
            val told = Departure(nowMillis - ageMillis, recorded = until != null)
            departuresOf(row.service).merge(row.software, told) { known, _ ->
                if (known.recorded && known.atMillis < told.atMillis) told else known
            }
        }
    }

    /** Records that endpoints may have come and gone unnoticed until now. */
    fun onGap(nowMillis: Long) {
        observedSinceMillis = nowMillis
    }

    /** Returns the versions that the service has or had lately, null among them if one was unknown. */
    fun recent(
        service: ServiceName,
        nowMillis: Long,
    ): Set<SoftwareVersion?> =
        versions(service) + departures[service].orEmpty().filterValues { isRecent(it, nowMillis) }.keys

    /**
     * Returns the only version that the service has had for as long as streams last, or null if there were several or
     * if that is not known.
     *
     * An instance that has not observed the service for so long relies on the record in the store. If that doesn't have
     * the version, it takes the times at which the endpoints started instead.
     */
    fun onlyVersion(
        service: ServiceName,
        nowMillis: Long,
        nowUnixMillis: Long,
    ): SoftwareVersion? {
        val only = recent(service, nowMillis).singleOrNull() ?: return null
        val observedMillis = nowMillis - (observedSinceMillis ?: return null)
        val isKnown =
            observedMillis > retentionMillis ||
                ServedVersion(service, only) in record ||
                present[service].orEmpty().all { nowUnixMillis - it.startedAtUnixMillis > retentionMillis }
        return only.takeIf { isKnown }
    }

    /** Returns what the record in the store should have, or null if nothing that matters is missing there. */
    fun recordToStore(
        nowMillis: Long,
        nowUnixMillis: Long,
    ): Set<ServedVersion>? {
        val serving =
            present.keys
                .sortedBy { it.value }
                .flatMap { service -> versions(service).sortedBy { it?.value }.map { ServedVersion(service, it) } }
                .take(MAX_SERVING)
                .toSet()
        val left = departed(nowMillis, nowUnixMillis)
        val isComplete =
            serving == record.filterTo(HashSet()) { it.untilUnixMillis == null } && left.all(::isRecorded)
        return if (isComplete) null else serving + left
    }

    /** The versions that have left lately, the latest first. */
    private fun departed(
        nowMillis: Long,
        nowUnixMillis: Long,
    ): List<ServedVersion> =
        departures
            .flatMap { (service, left) ->
                left
                    .filter { (software, departure) ->
                        software !in versions(service) && isRecent(departure, nowMillis)
                    }.map { (software, departure) ->
                        val observed =
                            ServedVersion(service, software, nowUnixMillis - (nowMillis - departure.atMillis))
                        // The allowance for other clocks would be added anew by each instance that writes it.
                        if (departure.recorded) recordedDeparture(observed) ?: observed else observed
                    }
            }.sortedByDescending { it.untilUnixMillis }
            .take(MAX_LEFT)

    private fun isRecorded(left: ServedVersion): Boolean {
        val known = recordedDeparture(left)?.untilUnixMillis ?: return false
        return known >= checkNotNull(left.untilUnixMillis) - CLOCK_DIFFERENCE_MILLIS
    }

    private fun recordedDeparture(left: ServedVersion): ServedVersion? =
        record
            .filter { it.service == left.service && it.software == left.software && it.untilUnixMillis != null }
            .maxByOrNull { checkNotNull(it.untilUnixMillis) }

    private fun departuresOf(service: ServiceName) = departures.getOrPut(service) { HashMap() }

    private fun isRecent(
        departure: Departure,
        nowMillis: Long,
    ) = nowMillis - departure.atMillis <= retentionMillis

    private fun forgetOld(nowMillis: Long) {
        departures.values.forEach { left -> left.values.removeIf { !isRecent(it, nowMillis) } }
        departures.values.removeIf { it.isEmpty() }
    }

    private fun versions(service: ServiceName): Set<SoftwareVersion?> = versions(present[service].orEmpty())

    private fun versions(entries: List<EndpointEntry>): Set<SoftwareVersion?> = entries.mapTo(HashSet()) { it.software }

    private companion object {
        /** How far the clocks of two instances may differ. */
        const val CLOCK_DIFFERENCE_MILLIS: Long = 5_000

        /** Together these keep the record under a third of a megabyte. */
        const val MAX_SERVING: Int = 2_000
        const val MAX_LEFT: Int = 500
    }
}
