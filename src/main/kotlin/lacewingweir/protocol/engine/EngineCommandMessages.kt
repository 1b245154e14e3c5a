/** JSON messages of the command and status paths of engines. */
package lacewingweir.protocol.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

internal val EngineJson: Json =
    Json {
        ignoreUnknownKeys = true
        explicitNulls = false
    }

@Serializable
internal data class EngineCancelMessage(
    @SerialName("request_id") val requestId: String,
)

@Serializable
internal data class EngineLoadMessage(
    val model: String,
    val weights: String,
    val fencing: Long,
    @SerialName("order_id") val commandId: String,
)

@Serializable
internal data class EngineStatusMessage(
    val incarnation: String,
    val leaving: Boolean,
    val running: Int,
    val waiting: Int,
    val models: List<EngineModelMessage>,
)

@Serializable
internal data class EngineModelMessage(
    val name: String,
    val weights: String,
    val state: EngineModelState,
)

@Serializable
internal enum class EngineModelState {
    @SerialName("serving")
    SERVING,

    @SerialName("loading")
    LOADING,
}
