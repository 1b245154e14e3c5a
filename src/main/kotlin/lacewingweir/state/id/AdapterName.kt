package lacewingweir.state.id

import kotlinx.serialization.Serializable

/** Name of an adapter loaded on top of a model. */
@Serializable
@JvmInline
public value class AdapterName(
    public val value: String,
) {
    override fun toString(): String = value
}
