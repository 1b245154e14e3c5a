package lacewingweir.state.id

import kotlinx.serialization.Serializable

/** Identifies an endpoint (a model engine or a plain service) in the bundle. */
@Serializable
@JvmInline
public value class EndpointId(
    public val value: String,
) {
    override fun toString(): String = value
}
