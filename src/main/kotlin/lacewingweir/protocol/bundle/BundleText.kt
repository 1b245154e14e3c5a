/** The JSON form of bundles: reading with a full check, and the canonical text that is signed. */
package lacewingweir.protocol.bundle

import kotlinx.serialization.json.Json
import lacewingweir.protocol.json.JsonCursor
import lacewingweir.protocol.json.Validated
import lacewingweir.state.bundle.Bundle

/** Reads and writes the JSON text of a [Bundle]. */
public object BundleText {
    private val canonicalJson =
        Json {
            encodeDefaults = true
            explicitNulls = false
        }

    /** Reads and checks [text], including references between its parts. */
    public fun parse(text: String): Validated<Bundle> = JsonCursor.check(text) { BundleReader(it).read() }

    /**
     * The canonical text of [bundle], which is what signers sign: no whitespace, fields in declaration order, defaults
     * written out, absent optional fields left out. Equal bundles give equal texts.
     */
    public fun canonical(bundle: Bundle): String = canonicalJson.encodeToString(Bundle.serializer(), bundle)
}
