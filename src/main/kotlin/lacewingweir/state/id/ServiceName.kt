package lacewingweir.state.id

import kotlinx.serialization.Serializable

/** The name of a group of endpoints that serve the same requests. */
@Serializable
@JvmInline
internal value class ServiceName(
    val value: String,
) {
    override fun toString() = value
}
