/** The settings of one instance: a JSON file that is read once at the start. */
package lacewingweir.protocol.settings

import lacewingweir.protocol.json.JsonCursor
import lacewingweir.protocol.json.Validated
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.InstanceName

/**
 * Settings of one instance.
 *
 * [peerSeeds] are peer addresses tried at the start; one that answers is enough to learn the others.
 * [bundleSigners] maps a signer's name to its Ed25519 public key in Base64 (X.509 form). [traceEndpoint] is the URL of
 * an OTLP collector; without it no spans are exported.
 */
public data class Settings(
    val name: InstanceName,
    val failureDomain: FailureDomain,
    val callerListen: HostPort,
    val operatorListen: HostPort,
    val peerListen: HostPort,
    val peerSeeds: List<HostPort>,
    val storeAddresses: List<HostPort>,
    val fleetSecret: FleetSecret,
    val bundleSigners: Map<String, String>,
    val limits: ContactProofLimits = ContactProofLimits(),
    val http: HttpSettings = HttpSettings(),
    val shutdown: ShutdownSettings = ShutdownSettings(),
    val logLevel: LogLevel = LogLevel.INFO,
    val traceEndpoint: String? = null,
) {
    public companion object {
        /** Reads and checks [text]. [readFile] gives the text of the secret's file, or null if it can't be read. */
        public fun parse(
            text: String,
            readFile: (path: String) -> String?,
        ): Validated<Settings> = JsonCursor.check(text) { SettingsReader(it, readFile).read() }
    }
}
