package lacewingweir.state.id

import kotlinx.serialization.Serializable

/** Name of an entry instance from its settings. Stable across restarts, unlike its [Incarnation]. */
@Serializable
@JvmInline
public value class InstanceName(
    public val value: String,
) {
    override fun toString(): String = value
}
