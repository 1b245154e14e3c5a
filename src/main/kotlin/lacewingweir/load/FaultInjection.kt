package lacewingweir.load

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject

/** Sets the faults of a stand-in with `POST /standin/faults` to [target] (`host:port`), [atSeconds] after the start. */
@Serializable
public data class FaultInjection(
    val atSeconds: Double,
    val target: String,
    val body: JsonObject,
)
