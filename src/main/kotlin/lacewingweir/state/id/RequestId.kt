package lacewingweir.state.id

import kotlinx.serialization.Serializable

/** Identifies one caller request across hops, logs and traces. */
@Serializable
@JvmInline
public value class RequestId(
    public val value: String,
) {
    override fun toString(): String = value
}
