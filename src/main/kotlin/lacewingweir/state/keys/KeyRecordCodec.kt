package lacewingweir.state.keys

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** The JSON form in which a [KeyRecord] stands in the configuration store. */
public object KeyRecordCodec {
    /** Prefix of the store keys of records; the digest follows. */
    public const val STORE_PREFIX: String = "/lw/keys/"

    /** The UTF-8 bytes of the JSON form. */
    public fun encode(record: KeyRecord): ByteArray =
        Json.encodeToString(KeyRecord.serializer(), record).encodeToByteArray()

    /** Reads what [encode] wrote; null if [bytes] are malformed. */
    public fun decode(bytes: ByteArray): KeyRecord? =
        try {
            Json.decodeFromString(KeyRecord.serializer(), bytes.decodeToString())
        } catch (_: SerializationException) {
            null
        }
}
