package lacewingweir.state.id

import kotlinx.serialization.Serializable

/** Identifies a route in the bundle. */
@Serializable
@JvmInline
public value class RouteId(
    public val value: String,
) {
    override fun toString(): String = value
}
