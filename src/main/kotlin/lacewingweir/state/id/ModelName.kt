package lacewingweir.state.id

import kotlinx.serialization.Serializable

/** Name of a model as callers request it. */
@Serializable
@JvmInline
public value class ModelName(
    public val value: String,
) {
    override fun toString(): String = value
}
