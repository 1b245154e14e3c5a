package lacewingweir.state.keys

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Encodes and decodes the JSON form of a [KeyRecord] used in the configuration store. */
public object KeyRecordCodec {
    /** Prefix of the store keys of records, followed by the key digest. */
    public const val STORE_PREFIX: String = "/lw/keys/"

    /** Returns the JSON form of [record] in UTF-8. */
    public fun encode(record: KeyRecord): ByteArray =
        Json.encodeToString(KeyRecord.serializer(), record).encodeToByteArray()

    /** Decodes the output of [encode]. Returns null if [bytes] are malformed. */
    public fun decode(bytes: ByteArray): KeyRecord? =
        try {
            Json.decodeFromString(KeyRecord.serializer(), bytes.decodeToString())
        } catch (_: SerializationException) {
            null
        }
}
