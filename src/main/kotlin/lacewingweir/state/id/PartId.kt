package lacewingweir.state.id

import kotlinx.serialization.Serializable

/** Identifies a part of a prompt that other prompts may share. */
@Serializable
@JvmInline
internal value class PartId(
    val value: String,
) {
    override fun toString(): String = value
}
