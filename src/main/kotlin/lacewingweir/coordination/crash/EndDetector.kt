package lacewingweir.coordination.crash

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.id.EndpointTag
import java.util.concurrent.ConcurrentHashMap

/**
 * Tells endpoints that have ended from those that only broke off a response. One that lives goes on listening.
 *
 * @property refusesConnections returns whether nothing listens at the address of an endpoint any more
 */
internal class EndDetector(
    private val scope: CoroutineScope,
    private val refusesConnections: suspend (EndpointEntry) -> Boolean,
) {
    private val checks = ConcurrentHashMap<EndpointTag, Deferred<Boolean>>()

    /** Returns whether the endpoint has ended. The calls that break off at the same time share the check. */
    suspend fun hasEnded(endpoint: EndpointEntry): Boolean {
        val check = checks.computeIfAbsent(endpoint.tag) { scope.async { check(endpoint) } }
        return try {
            check.await()
        } finally {
            checks.remove(endpoint.tag, check)
        }
    }

    private suspend fun check(endpoint: EndpointEntry): Boolean {
        if (refusesConnections(endpoint)) return true
        delay(SECOND_CHECK_MILLIS)
        return refusesConnections(endpoint)
    }

    private companion object {
        /** An endpoint may close its connections slightly before its port. */
        const val SECOND_CHECK_MILLIS: Long = 30
    }
}
