package lacewingweir.state.id

import kotlinx.serialization.Serializable

/** Random label of one run of a process. A restarted process has a new one. */
@Serializable
@JvmInline
public value class Incarnation(
    public val value: String,
) {
    override fun toString(): String = value
}
