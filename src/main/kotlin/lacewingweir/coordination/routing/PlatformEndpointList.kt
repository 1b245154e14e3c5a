package lacewingweir.coordination.routing

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import lacewingweir.coordination.store.StoreEntry
import lacewingweir.state.id.EndpointId
import java.util.concurrent.ConcurrentHashMap

private val logger = KotlinLogging.logger {}

/**
 * The platform's list of live and leaving endpoints, as of the last poll.
 *
 * Entries are `/platform/endpoints/<id>` with `{"state":"live"}` or `{"state":"leaving"}`. The list may be outdated or
 * incomplete, so an endpoint without an entry counts as live. An endpoint that no longer exists is detected by failed
 * connections.
 */
public class PlatformEndpointList : LeavingEndpoints {
    private val leaving: MutableSet<EndpointId> = ConcurrentHashMap.newKeySet()

    override fun isLeaving(endpoint: EndpointId): Boolean = endpoint in leaving

    /** Applies an entry that was polled from the store. An unreadable entry is logged and ignored. */
    public fun onStoreEntry(entry: StoreEntry) {
        if (!entry.key.startsWith(PREFIX)) return
        val id = EndpointId(entry.key.removePrefix(PREFIX))
        when (stateOf(entry)) {
            "leaving" -> if (leaving.add(id)) logger.info { "route: endpoint $id is leaving" }
            "live" -> if (leaving.remove(id)) logger.info { "route: endpoint $id is live again" }
            else -> logger.warn { "route: endpoint entry ${entry.key} is unreadable or has an unknown state; ignored" }
        }
    }

    private fun stateOf(entry: StoreEntry): String? =
        runCatching { Json.parseToJsonElement(entry.value.decodeToString()) }
            .getOrNull()
            ?.let { it as? JsonObject }
            ?.let { it["state"] as? JsonPrimitive }
            ?.contentOrNull

    public companion object {
        /** Key prefix of the platform's endpoint entries. */
        public const val PREFIX: String = "/platform/endpoints/"
    }
}
