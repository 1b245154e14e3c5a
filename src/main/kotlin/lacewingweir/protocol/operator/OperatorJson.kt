package lacewingweir.protocol.operator

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Codec of the operator port. Readers skip fields that they don't know, so that releases may differ. */
public object OperatorJson {
    private val json =
        Json {
            encodeDefaults = true
            ignoreUnknownKeys = true
        }

    /** The JSON text of [value]. */
    public fun <T> encode(
        serializer: KSerializer<T>,
        value: T,
    ): String = json.encodeToString(serializer, value)

    /** Reads [text]; null if it is malformed. */
    public fun <T> decode(
        serializer: KSerializer<T>,
        text: String,
    ): T? =
        try {
            json.decodeFromString(serializer, text)
        } catch (_: SerializationException) {
            null
        }
}
