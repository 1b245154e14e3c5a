package lacewingweir.state.id

import kotlinx.serialization.Serializable
import java.security.MessageDigest
import java.util.HexFormat

/** The SHA-256 digest of a caller's key in lower-case hexadecimal. The key itself is never stored. */
@Serializable
@JvmInline
public value class KeyDigest(
    public val value: String,
) {
    override fun toString(): String = value

    public companion object {
        /** Returns the digest of [key]. */
        public fun of(key: String): KeyDigest =
            KeyDigest(HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(key.encodeToByteArray())))
    }
}
