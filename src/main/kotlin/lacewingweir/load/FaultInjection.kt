package lacewingweir.load

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject

/** A request to a stand-in's fault switch (`POST /standin/faults`) at a time of the run. */
@Serializable
public data class FaultInjection(
    val atSeconds: Double,
    val target: String,
    val body: JsonObject,
)
