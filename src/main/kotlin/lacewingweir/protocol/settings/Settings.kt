/** Settings of an instance: a JSON file that is read once at startup. */
package lacewingweir.protocol.settings

import lacewingweir.protocol.json.JsonCursor
import lacewingweir.protocol.json.Validated
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.InstanceName

/**
 * Settings of one instance.
 *
 * @property peerSeeds peer addresses to contact at startup. The instance learns the other peers from any seed that
 *   responds.
 * @property bundleSigners the Ed25519 public key of each bundle signer in Base64 (X.509 encoding), by signer name.
 * @property limits how long the instance relies on its last contact proof.
 * @property traceEndpoint the URL of an OTLP collector, or null to export no spans.
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
        /** Parses and validates [text]. [readFile] returns the text of a file, or null if it can't be read. */
        public fun parse(
            text: String,
            readFile: (path: String) -> String?,
        ): Validated<Settings> = JsonCursor.check(text) { SettingsReader(it, readFile).read() }
    }
}
