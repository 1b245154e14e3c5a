package lacewingweir.state.id

import kotlinx.serialization.Serializable

/** Lower-case hexadecimal SHA-256 digest of a caller's key. The key itself is never kept. */
@Serializable
@JvmInline
public value class KeyDigest(
    public val value: String,
) {
    override fun toString(): String = value
}
