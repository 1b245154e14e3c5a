package lacewingweir.state.id

import kotlinx.serialization.Serializable

/** The version of an endpoint's software. Versions have no order. */
@Serializable
@JvmInline
internal value class SoftwareVersion(
    val value: String,
) {
    override fun toString(): String = value
}
