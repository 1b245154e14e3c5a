package lacewingweir.state.bundle

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The kind of an endpoint: a model engine or a plain service. */
@Serializable
public enum class EndpointKind {
    @SerialName("engine")
    ENGINE,

    @SerialName("service")
    SERVICE,
}
