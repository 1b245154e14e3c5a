package lacewingweir.state.reach

import lacewingweir.state.id.EndpointTag

/**
 * What an instance concludes from its own connections about whether it reaches the endpoints of one service.
 *
 * An instance is cut off from a service if it couldn't connect to several of its endpoints, or to all of a few, and to
 * none of the service in between. An established connection ends this. Responses on older connections count for
 * nothing, because these may live on while new ones can't be established. Times are those of the monotonic clock in
 * milliseconds.
 */
internal class ServiceReach {
    private val failedAtMillis = HashMap<EndpointTag, Long>()

    /** Whether no endpoint of the service can be reached, as far as is known. */
    var isCutOff = false
        private set

    /** Records that a connection to an endpoint of the service was established. */
    fun onConnected() {
        failedAtMillis.clear()
        isCutOff = false
    }

    /** Records that no connection to [endpoint], one of the usable [endpoints], could be established. */
    fun onUnreachable(
        endpoint: EndpointTag,
        endpoints: Set<EndpointTag>,
        nowMillis: Long,
    ) {
        failedAtMillis[endpoint] = nowMillis
        failedAtMillis.entries.removeIf { (tag, atMillis) ->
            tag !in endpoints || nowMillis - atMillis > EVIDENCE_MILLIS
        }
        if (failedAtMillis.size >= minOf(endpoints.size, EVIDENCE_ENDPOINTS)) isCutOff = endpoints.isNotEmpty()
    }

    /** Returns those of [endpoints] to which connecting hasn't failed recently. */
    fun untested(
        endpoints: Set<EndpointTag>,
        nowMillis: Long,
    ): Set<EndpointTag> =
        endpoints.filterTo(HashSet()) { tag -> failedAtMillis[tag]?.let { nowMillis - it > EVIDENCE_MILLIS } ?: true }

    internal companion object {
        /** How long a failed connection counts. Several timeouts of connections fit into it. */
        const val EVIDENCE_MILLIS: Long = 2_000

        /** Number of unreachable endpoints from which that of the others is concluded. */
        const val EVIDENCE_ENDPOINTS: Int = 8
    }
}
