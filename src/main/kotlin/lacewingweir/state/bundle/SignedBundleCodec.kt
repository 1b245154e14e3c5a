package lacewingweir.state.bundle

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** The JSON form in which a [SignedBundle] stands in the configuration store and in files. */
public object SignedBundleCodec {
    /** The UTF-8 bytes of the JSON form. */
    public fun encode(bundle: SignedBundle): ByteArray =
        Json.encodeToString(SignedBundle.serializer(), bundle).encodeToByteArray()

    /** Reads what [encode] wrote; null if [bytes] are malformed. */
    public fun decode(bytes: ByteArray): SignedBundle? =
        try {
            Json.decodeFromString(SignedBundle.serializer(), bytes.decodeToString())
        } catch (_: SerializationException) {
            null
        }
}
