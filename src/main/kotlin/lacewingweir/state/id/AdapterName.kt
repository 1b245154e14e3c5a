package lacewingweir.state.id

import kotlinx.serialization.Serializable

/** The name of an adapter that is loaded on top of a model's weights. */
@Serializable
@JvmInline
public value class AdapterName(
    public val value: String,
) {
    override fun toString(): String = value
}
