package lacewingweir.state.id

import kotlinx.serialization.Serializable

/** Version label of a model's weights. Compared for equality only. */
@Serializable
@JvmInline
public value class WeightsVersion(
    public val value: String,
) {
    override fun toString(): String = value
}
