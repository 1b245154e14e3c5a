/**
 * The software versions that the endpoints of each service have had lately.
 *
 * While a service has had one version for longer than a stream lasts, every stream of it began at that version, and
 * nothing needs to be known of single streams.
 */
package lacewingweir.state.stream

import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.SoftwareVersion

/**
 * Not thread-safe; the owner synchronizes. Times are of the monotonic clock, except those that endpoints state.
 *
 * @property retentionMillis the longest time from the first event of a stream to its continuation
 */
internal class VersionHistory(
    private val retentionMillis: Long,
) {
    private var present: Map<ServiceName, List<EndpointEntry>> = emptyMap()
    private val goneAtMillis = HashMap<ServiceName, HashMap<SoftwareVersion?, Long>>()
    private var observedSinceMillis: Long? = null

    /** Applies the endpoints that are known now. */
    fun onEndpoints(
        endpoints: Collection<EndpointEntry>,
        nowMillis: Long,
    ) {
        val before = present
        present = endpoints.groupBy { it.service }
        for ((service, entries) in before) {
            val left = versions(entries) - versions(present[service].orEmpty())
            left.forEach { goneAtMillis.getOrPut(service) { HashMap() }[it] = nowMillis }
        }
        goneAtMillis.values.forEach { gone -> gone.values.removeIf { nowMillis - it > retentionMillis } }
        if (observedSinceMillis == null) observedSinceMillis = nowMillis
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
        versions(present[service].orEmpty()) +
            goneAtMillis[service].orEmpty().filterValues { nowMillis - it <= retentionMillis }.keys

    /**
     * Returns the only version that the service has had for as long as streams last, or null if there were several or
     * if that is not known.
     *
     * An instance that has not observed the service for so long takes the times at which its endpoints started instead.
     */
    fun onlyVersion(
        service: ServiceName,
        nowMillis: Long,
        nowUnixMillis: Long,
    ): SoftwareVersion? {
        val only = recent(service, nowMillis).singleOrNull() ?: return null
        val observedMillis = nowMillis - (observedSinceMillis ?: return null)
        val allOlder =
            present[service].orEmpty().all { nowUnixMillis - it.startedAtUnixMillis > retentionMillis }
        return only.takeIf { observedMillis > retentionMillis || allOlder }
    }

    private fun versions(entries: List<EndpointEntry>): Set<SoftwareVersion?> = entries.mapTo(HashSet()) { it.software }
}
