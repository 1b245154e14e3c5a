/** The messages of the etcd v3 JSON gateway that the configuration store and the stand-in platform use. */
package lacewingweir.protocol.etcd

import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.LongAsStringSerializer
import kotlinx.serialization.json.Json
import java.util.Base64

/** A 64-bit integer. The gateway encodes it as a JSON string. Plain numbers are accepted too, as in proto3 JSON. */
internal typealias Int64 =
    @Serializable(with = LongAsStringSerializer::class)
    Long

/** Ignores unknown fields when decoding and omits fields with their default value when encoding. */
internal val EtcdJson: Json =
    Json {
        ignoreUnknownKeys = true
        isLenient = true
        explicitNulls = false
    }

/** The bytes of a key or value, encoded as Base64 in JSON. */
@Serializable
@JvmInline
internal value class EtcdBytes(
    val base64: String,
) {
    /** @throws IllegalArgumentException if the text is not Base64 */
    fun toByteArray(): ByteArray = Base64.getDecoder().decode(base64)

    /** @throws IllegalArgumentException if the text is not Base64 */
    fun toText(): String = toByteArray().decodeToString()

    companion object {
        val EMPTY: EtcdBytes = EtcdBytes("")

        fun of(bytes: ByteArray): EtcdBytes = EtcdBytes(Base64.getEncoder().encodeToString(bytes))

        fun of(text: String): EtcdBytes = of(text.encodeToByteArray())

        /** Returns the `range_end` with which a range contains all keys that start with [prefix]. */
        fun prefixEnd(prefix: String): EtcdBytes {
            val bytes = prefix.encodeToByteArray()
            val last = bytes.indexOfLast { it != 0xFF.toByte() }
            // This prefix has no upper bound. A single zero byte means "up to the last key".
            if (last < 0) return of(byteArrayOf(0))
            val end = bytes.copyOf(last + 1)
            end[last]++
            return of(end)
        }
    }
}

internal object EtcdPaths {
    const val RANGE: String = "/v3/kv/range"
    const val PUT: String = "/v3/kv/put"
    const val TXN: String = "/v3/kv/txn"
    const val LEASE_GRANT: String = "/v3/lease/grant"
    const val LEASE_KEEP_ALIVE: String = "/v3/lease/keepalive"
    const val LEASE_REVOKE: String = "/v3/lease/revoke"
    const val WATCH: String = "/v3/watch"
}
