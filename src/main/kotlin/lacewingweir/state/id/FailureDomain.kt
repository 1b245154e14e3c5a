package lacewingweir.state.id

import kotlinx.serialization.Serializable

/** The name of a failure domain. Endpoints and instances in the same domain may fail together. */
@Serializable
@JvmInline
public value class FailureDomain(
    public val value: String,
) {
    override fun toString(): String = value
}
