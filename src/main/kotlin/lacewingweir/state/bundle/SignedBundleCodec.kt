package lacewingweir.state.bundle

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Encodes and decodes the JSON form of a [SignedBundle] used in the configuration store and in files. */
public object SignedBundleCodec {
    /** Returns the JSON form of [bundle] in UTF-8. */
    public fun encode(bundle: SignedBundle): ByteArray =
        Json.encodeToString(SignedBundle.serializer(), bundle).encodeToByteArray()

    /** Decodes the output of [encode]. Returns null if [bytes] are malformed. */
    public fun decode(bytes: ByteArray): SignedBundle? =
        try {
            Json.decodeFromString(SignedBundle.serializer(), bytes.decodeToString())
        } catch (_: SerializationException) {
            null
        }
}
