package lacewingweir.protocol.operator

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** JSON codec of the operator port. Unknown fields are ignored, so that messages of other releases can be read. */
public object OperatorJson {
    private val json =
        Json {
            encodeDefaults = true
            ignoreUnknownKeys = true
        }

    /** Returns [value] as JSON text. */
    public fun <T> encode(
        serializer: KSerializer<T>,
        value: T,
    ): String = json.encodeToString(serializer, value)

    /** Decodes [text], or returns null if it is malformed. */
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
