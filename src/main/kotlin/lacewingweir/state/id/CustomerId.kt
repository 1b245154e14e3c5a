package lacewingweir.state.id

import kotlinx.serialization.Serializable

/** Identifies a customer across bundles. */
@Serializable
@JvmInline
public value class CustomerId(
    public val value: String,
) {
    override fun toString(): String = value
}
