package lacewingweir.state.id

import kotlinx.serialization.Serializable
import java.security.MessageDigest
import java.util.HexFormat

/** Lower-case hexadecimal SHA-256 digest of a caller's key. The key itself is never kept. */
@Serializable
@JvmInline
public value class KeyDigest(
    public val value: String,
) {
    override fun toString(): String = value

    public companion object {
        /** The digest of [key]. */
        public fun of(key: String): KeyDigest =
            KeyDigest(HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(key.encodeToByteArray())))
    }
}
