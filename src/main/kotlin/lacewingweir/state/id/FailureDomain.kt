package lacewingweir.state.id

import kotlinx.serialization.Serializable

/** Name of a failure domain. */
@Serializable
@JvmInline
public value class FailureDomain(
    public val value: String,
) {
    override fun toString(): String = value
}
