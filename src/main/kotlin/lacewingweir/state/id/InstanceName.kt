package lacewingweir.state.id

import kotlinx.serialization.Serializable

/** The name of an instance, taken from its settings. Stable across restarts, unlike its [Incarnation]. */
@Serializable
@JvmInline
public value class InstanceName(
    public val value: String,
) {
    override fun toString(): String = value
}
