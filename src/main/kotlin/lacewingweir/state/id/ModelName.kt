package lacewingweir.state.id

import kotlinx.serialization.Serializable

/** The name of a model, as used in callers' requests. */
@Serializable
@JvmInline
public value class ModelName(
    public val value: String,
) {
    override fun toString(): String = value
}
