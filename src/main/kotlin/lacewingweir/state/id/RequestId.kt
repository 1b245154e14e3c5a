package lacewingweir.state.id

import kotlinx.serialization.Serializable

/** Identifies a caller's request across network hops, logs and traces. */
@Serializable
@JvmInline
public value class RequestId(
    public val value: String,
) {
    override fun toString(): String = value
}
