package lacewingweir.protocol.settings

import lacewingweir.protocol.json.JsonCursor
import lacewingweir.protocol.json.TextRule
import lacewingweir.protocol.json.reportDuplicates
import lacewingweir.state.bundle.Ed25519
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.InstanceName
import java.net.URI
import java.net.URISyntaxException

/**
 * Reads [Settings] from a JSON document and reports every violated rule at the cursor of the value.
 *
 * [readFile] returns the text of a file, or null if it can't be read.
 */
internal class SettingsReader(
    private val document: JsonCursor,
    private val readFile: (path: String) -> String?,
) {
    fun read(): Settings {
        val root = document.requireObject(FIELDS)
        val cursors = listOf("callerListen", "operatorListen", "peerListen").map { root.field(it) }
        val listenAddresses = cursors.map(::address)
        cursors.reportDuplicates("") { if (listenAddresses[it].host.isEmpty()) "" else listenAddresses[it].toString() }
        val traceEndpoint = root.field("traceEndpoint")
        return Settings(
            name = InstanceName(root.field("name").text(TextRule.ID)),
            failureDomain = FailureDomain(root.field("failureDomain").text(TextRule.ID)),
            callerListen = listenAddresses[0],
            operatorListen = listenAddresses[1],
            peerListen = listenAddresses[2],
            peerSeeds = addresses(root.field("peerSeeds"), minSize = 0),
            storeAddresses = addresses(root.field("storeAddresses"), minSize = 1),
            fleetSecret = secret(root.field("fleetSecret")),
            bundleSigners = signers(root.field("bundleSigners")),
            limits = limits(root.field("limits")),
            http = http(root.field("http")),
            shutdown = shutdown(root.field("shutdown")),
            logLevel = root.field("logLevel").choice(LogLevel.entries.associateBy { it.name }, LogLevel.INFO),
            traceEndpoint = if (traceEndpoint.isPresent) traceEndpoint.text(URL) else null,
        )
    }

    private fun address(cursor: JsonCursor): HostPort {
        val (host, port) = TextRule.splitHostPort(cursor.text(TextRule.HOST_PORT)) ?: ("" to 0)
        return HostPort(host, port)
    }

    private fun addresses(
        cursor: JsonCursor,
        minSize: Int,
    ): List<HostPort> {
        val items = cursor.items(optional = minSize == 0, minSize = minSize, contents = "addresses <IP address>:<port>")
        val addresses = items.map(::address)
        items.reportDuplicates("") { if (addresses[it].host.isEmpty()) "" else addresses[it].toString() }
        return addresses
    }

    private fun secret(cursor: JsonCursor): FleetSecret {
        val source = cursor.requireObject("file", "inline")
        val file = source.field("file")
        val inline = source.field("inline")
        if (cursor.fieldNames.isEmpty() && source === cursor) cursor.report("either the field file or the field inline")
        if (file.isPresent && inline.isPresent) inline.report("either file or inline, not both", found = "both")
        if (inline.isPresent) return FleetSecret(inline.text(SECRET, secret = true))
        val filePath = if (file.isPresent) file.text(TextRule.FILE_PATH) else ""
        if (filePath.isEmpty()) return FleetSecret("")
        val value = readFile(filePath)?.trim()
        if (value == null || !SECRET.accepts(value)) {
            file.report("a readable file that contains ${SECRET.allowed}")
        }
        return FleetSecret(value.orEmpty())
    }

    private fun signers(cursor: JsonCursor): Map<String, String> {
        val names = cursor.fieldNames
        if (names.isEmpty()) cursor.report("an object with the Ed25519 public key (Base64) of at least one signer")
        return names.associateWith { name ->
            val key = cursor.field(name)
            if (!TextRule.ID.accepts(name)) key.report("a signer name of ${TextRule.ID.allowed}", found = "\"$name\"")
            key.text(PUBLIC_KEY)
        }
    }

    private fun limits(cursor: JsonCursor): ContactProofLimits {
        val defaults = ContactProofLimits()
        if (!cursor.isPresent) return defaults
        val obj = cursor.requireObject("keyFreshnessMillis", "authorityMillis")
        return ContactProofLimits(
            keyFreshnessMillis =
                obj.field("keyFreshnessMillis").integer(PROOF_AGE_MILLIS, defaults.keyFreshnessMillis),
            authorityMillis = obj.field("authorityMillis").integer(PROOF_AGE_MILLIS, defaults.authorityMillis),
        )
    }

    private fun http(cursor: JsonCursor): HttpSettings {
        val defaults = HttpSettings()
        if (!cursor.isPresent) return defaults
        val obj =
            cursor.requireObject(
                "maxBodyBytes",
                "maxHeaderBytes",
                "maxLineBytes",
                "idleReadMillis",
                "writeStallMillis",
                "maxPipelinedRequests",
            )

        fun int(
            name: String,
            range: LongRange,
            default: Int,
        ): Int = obj.field(name).integer(range, default.toLong()).toInt()
        return HttpSettings(
            maxBodyBytes = int("maxBodyBytes", BODY_BYTES, defaults.maxBodyBytes),
            maxHeaderBytes = int("maxHeaderBytes", HEADER_BYTES, defaults.maxHeaderBytes),
            maxLineBytes = int("maxLineBytes", HEADER_BYTES, defaults.maxLineBytes),
            idleReadMillis = obj.field("idleReadMillis").integer(HTTP_TIMEOUT_MILLIS, defaults.idleReadMillis),
            writeStallMillis = obj.field("writeStallMillis").integer(HTTP_TIMEOUT_MILLIS, defaults.writeStallMillis),
            maxPipelinedRequests = int("maxPipelinedRequests", PIPELINED_REQUESTS, defaults.maxPipelinedRequests),
        )
    }

    private fun shutdown(cursor: JsonCursor): ShutdownSettings {
        val defaults = ShutdownSettings()
        if (!cursor.isPresent) return defaults
        val obj = cursor.requireObject("balancerMillis", "drainMillis")
        return ShutdownSettings(
            balancerMillis = obj.field("balancerMillis").integer(SHUTDOWN_DELAY_MILLIS, defaults.balancerMillis),
            drainMillis = obj.field("drainMillis").integer(SHUTDOWN_DELAY_MILLIS, defaults.drainMillis),
        )
    }

    private companion object {
        val FIELDS =
            listOf(
                "name",
                "failureDomain",
                "callerListen",
                "operatorListen",
                "peerListen",
                "peerSeeds",
                "storeAddresses",
                "fleetSecret",
                "bundleSigners",
                "limits",
                "http",
                "shutdown",
                "logLevel",
                "traceEndpoint",
            )

        /**
         * Range of the age limits of the contact proof.
         *
         * A proof is renewed about once a second, so a limit near one second would be exceeded in normal operation.
         */
        val PROOF_AGE_MILLIS = 1_500L..60_000L
        val BODY_BYTES = 1_024L..1_073_741_824L
        val HEADER_BYTES = 1_024L..1_048_576L
        val HTTP_TIMEOUT_MILLIS = 100L..600_000L
        val PIPELINED_REQUESTS = 1L..1_000L
        val SHUTDOWN_DELAY_MILLIS = 0L..3_600_000L

        const val MIN_SECRET_CHARS: Int = 16
        const val MAX_SECRET_CHARS: Int = 4_096

        val SECRET =
            TextRule("a secret of $MIN_SECRET_CHARS to $MAX_SECRET_CHARS characters") {
                it.length in MIN_SECRET_CHARS..MAX_SECRET_CHARS
            }
        val PUBLIC_KEY = TextRule("an Ed25519 public key in Base64 (X.509 form)") { Ed25519.isPublicKey(it) }
        val URL = TextRule("an http or https URL with a host", ::isHttpUrl)

        fun isHttpUrl(text: String): Boolean =
            try {
                val uri = URI(text)
                uri.scheme in setOf("http", "https") && !uri.host.isNullOrEmpty()
            } catch (_: URISyntaxException) {
                false
            }
    }
}
