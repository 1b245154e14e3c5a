package lacewingweir.protocol.settings

import lacewingweir.protocol.json.JsonCursor
import lacewingweir.protocol.json.TextRule
import lacewingweir.protocol.json.reportDuplicates
import lacewingweir.state.bundle.Ed25519
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.InstanceName
import java.net.URI
import java.net.URISyntaxException

/** Reads one settings document and records its mistakes at the cursor. */
internal class SettingsReader(
    private val document: JsonCursor,
    private val readFile: (path: String) -> String?,
) {
    fun read(): Settings {
        val root = document.requireObject(FIELDS)
        val listen = listOf("callerListen", "operatorListen", "peerListen").map { root.field(it) }
        val listenAddresses = listen.map(::address)
        listen.reportDuplicates("") { if (listenAddresses[it].host.isEmpty()) "" else listenAddresses[it].toString() }
        val trace = root.field("traceEndpoint")
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
            traceEndpoint = if (trace.isPresent) trace.text(URL) else null,
        )
    }

    private fun address(at: JsonCursor): HostPort {
        val (host, port) = TextRule.splitHostPort(at.text(TextRule.HOST_PORT)) ?: ("" to 0)
        return HostPort(host, port)
    }

    private fun addresses(
        at: JsonCursor,
        minSize: Int,
    ): List<HostPort> {
        val items = at.items(optional = minSize == 0, minSize = minSize, of = "addresses <IP address>:<port>")
        val addresses = items.map(::address)
        items.reportDuplicates("") { if (addresses[it].host.isEmpty()) "" else addresses[it].toString() }
        return addresses
    }

    private fun secret(at: JsonCursor): FleetSecret {
        val source = at.requireObject("file", "inline")
        val file = source.field("file")
        val inline = source.field("inline")
        if (at.fieldNames.isEmpty() && source === at) at.report("one of the fields file and inline")
        if (file.isPresent && inline.isPresent) inline.report("only one of file and inline", found = "both")
        if (inline.isPresent) return FleetSecret(inline.text(SECRET, secret = true))
        val path = if (file.isPresent) file.text(TextRule.FILE_PATH) else ""
        if (path.isEmpty()) return FleetSecret("")
        val value = readFile(path)?.trim()
        if (value == null || !SECRET.accepts(value)) {
            file.report("a readable file that holds ${SECRET.allowed}")
        }
        return FleetSecret(value.orEmpty())
    }

    private fun signers(at: JsonCursor): Map<String, String> {
        val names = at.fieldNames
        if (names.isEmpty()) at.report("an object with at least one signer: name to Ed25519 public key in Base64")
        return names.associateWith { name ->
            val key = at.field(name)
            if (!TextRule.ID.accepts(name)) key.report("a signer's name of ${TextRule.ID.allowed}", found = "\"$name\"")
            key.text(PUBLIC_KEY)
        }
    }

    private fun limits(at: JsonCursor): ContactProofLimits {
        val defaults = ContactProofLimits()
        if (!at.isPresent) return defaults
        val item = at.requireObject("keyFreshnessMillis", "authorityMillis")
        return ContactProofLimits(
            keyFreshnessMillis =
                item.field("keyFreshnessMillis").integer(PROOF_MILLIS, defaults.keyFreshnessMillis),
            authorityMillis = item.field("authorityMillis").integer(PROOF_MILLIS, defaults.authorityMillis),
        )
    }

    private fun http(at: JsonCursor): HttpSettings {
        val defaults = HttpSettings()
        if (!at.isPresent) return defaults
        val item =
            at.requireObject(
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
        ): Int = item.field(name).integer(range, default.toLong()).toInt()
        return HttpSettings(
            maxBodyBytes = int("maxBodyBytes", BODY_BYTES, defaults.maxBodyBytes),
            maxHeaderBytes = int("maxHeaderBytes", HEADER_BYTES, defaults.maxHeaderBytes),
            maxLineBytes = int("maxLineBytes", HEADER_BYTES, defaults.maxLineBytes),
            idleReadMillis = item.field("idleReadMillis").integer(HTTP_MILLIS, defaults.idleReadMillis),
            writeStallMillis = item.field("writeStallMillis").integer(HTTP_MILLIS, defaults.writeStallMillis),
            maxPipelinedRequests = int("maxPipelinedRequests", PIPELINED, defaults.maxPipelinedRequests),
        )
    }

    private fun shutdown(at: JsonCursor): ShutdownSettings {
        val defaults = ShutdownSettings()
        if (!at.isPresent) return defaults
        val item = at.requireObject("balancerMillis", "drainMillis")
        return ShutdownSettings(
            balancerMillis = item.field("balancerMillis").integer(SHUTDOWN_MILLIS, defaults.balancerMillis),
            drainMillis = item.field("drainMillis").integer(SHUTDOWN_MILLIS, defaults.drainMillis),
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

        /** A proof is renewed about once a second, so a limit near one second would make instances stale at rest. */
        val PROOF_MILLIS = 1_500L..60_000L
        val BODY_BYTES = 1_024L..1_073_741_824L
        val HEADER_BYTES = 1_024L..1_048_576L
        val HTTP_MILLIS = 100L..600_000L
        val PIPELINED = 1L..1_000L
        val SHUTDOWN_MILLIS = 0L..3_600_000L

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
