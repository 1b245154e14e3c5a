package lacewingweir.state.id

import kotlinx.serialization.Serializable

/** The version label of a model's weights. Labels have no order and are compared for equality only. */
@Serializable
@JvmInline
public value class WeightsVersion(
    public val value: String,
) {
    override fun toString(): String = value
}
