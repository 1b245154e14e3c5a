package lacewingweir.state.id

import kotlinx.serialization.Serializable

/** A random identifier of one run of a process. It changes with every restart. */
@Serializable
@JvmInline
public value class Incarnation(
    public val value: String,
) {
    override fun toString(): String = value
}
