/** Validation of bundles in JSON, and the canonical JSON text over which a bundle is signed. */
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

    /** Parses and validates [text], including references between customers, models, endpoints and routes. */
    public fun parse(text: String): Validated<Bundle> = JsonCursor.check(text) { BundleReader(it).read() }

    /**
     * Returns the canonical text of [bundle], over which signatures are computed.
     *
     * The text has no whitespace, lists fields in declaration order, includes default values and omits optional fields
     * that are null. Equal bundles have equal texts.
     */
    public fun canonical(bundle: Bundle): String = canonicalJson.encodeToString(Bundle.serializer(), bundle)
}
