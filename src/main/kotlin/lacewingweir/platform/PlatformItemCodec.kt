package lacewingweir.platform

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import lacewingweir.coordination.fleet.FleetUpdate
import lacewingweir.protocol.settings.HostPort
import lacewingweir.state.fleet.CallerLimits
import lacewingweir.state.fleet.CustomerSpec
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.fleet.EngineSpec
import lacewingweir.state.fleet.FleetConfig
import lacewingweir.state.fleet.PeerEntry
import lacewingweir.state.fleet.RateLimit
import lacewingweir.state.fleet.RequestKind
import lacewingweir.state.fleet.RoutePolicy
import lacewingweir.state.fleet.RouteTarget
import lacewingweir.state.fleet.ServiceSpec
import lacewingweir.state.fleet.TargetMoment
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.KeyDigest
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.PartId
import lacewingweir.state.id.RequestFingerprint
import lacewingweir.state.id.RouteId
import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.SoftwareVersion
import lacewingweir.state.id.StreamTag
import lacewingweir.state.id.SuspectId
import lacewingweir.state.id.WeightsNumber
import lacewingweir.state.stream.ServedVersion
import lacewingweir.state.stream.StreamOrigin
import java.nio.ByteBuffer
import java.util.Base64

/**
 * Decodes the items of the platform's store into the types of this project, and encodes the items of instances.
 *
 * The word `version` has three meanings in these items: the number of the configuration, the number of a model's
 * weights, and the software version of an endpoint.
 */
internal object PlatformItemCodec {
    private const val BITS_PER_BYTE = 8
    private const val BITS_PER_MILLI_AT_1_MBPS = 1_000
    private const val MAX_DESCRIBED_BYTES = 4_096
    private val CONFIG_NUMBER = Regex(""""version"\s*:\s*(\d{1,18})""")
    private val ENDPOINT_ID = Regex("[\\x21-\\x7e]+")

    /**
     * Decodes one item. Returns null for keys that are not used here, and [FleetUpdate.Unreadable] for a value that
     * doesn't have the expected form.
     */
    fun decode(
        key: String,
        value: ByteArray,
    ): FleetUpdate? =
        try {
            decodeItem(key, value)
        } catch (e: IllegalArgumentException) {
            FleetUpdate.Unreadable(describe(key, value) + (e.message ?: "malformed"))
        }

    /** Names the number of a configuration that can't be read, as far as it can be found. */
    private fun describe(
        key: String,
        value: ByteArray,
    ): String {
        if (key != PlatformKeys.CONFIG) return ""
        val start = value.decodeToString(0, minOf(value.size, MAX_DESCRIBED_BYTES))
        val number = CONFIG_NUMBER.find(start)?.groupValues?.get(1)
        return "configuration ${number ?: "without a number"}: "
    }

    private fun decodeItem(
        key: String,
        value: ByteArray,
    ): FleetUpdate? =
        when {
            key == PlatformKeys.CONFIG -> FleetUpdate.Config(config(parseObject(value)))
            key.startsWith(PlatformKeys.TARGET_WEIGHTS_PREFIX) -> targetWeights(parseObject(value))
            key.startsWith(PlatformKeys.ENDPOINT_PREFIX) ->
                FleetUpdate.Endpoint(
                    endpoint(EndpointId(key.removePrefix(PlatformKeys.ENDPOINT_PREFIX)), parseObject(value)),
                )
            key.startsWith(PlatformKeys.INSTANCE_PREFIX) ->
                FleetUpdate.Peer(peer(key.removePrefix(PlatformKeys.INSTANCE_PREFIX), parseObject(value)))
            key == PlatformKeys.HOT_CUSTOMERS ->
                FleetUpdate.HotCustomers(
                    parseObject(value).strings("customers").mapTo(HashSet()) { CustomerId(it) },
                )
            key == PlatformKeys.BLOCK_LIST -> FleetUpdate.BlockList(blockList(parseObject(value)))
            key == PlatformKeys.TARGET_MOMENTS -> FleetUpdate.TargetMoments(targetMoments(parseObject(value)))
            key == PlatformKeys.SERVED_VERSIONS -> FleetUpdate.ServedVersions(servedVersions(parseObject(value)))
            key.startsWith(PlatformKeys.BEGUN_STREAMS_PREFIX) ->
                FleetUpdate.BegunStreams(begunStreams(parseObject(value)))
            key == PlatformKeys.ROLLOUT_LEASE -> FleetUpdate.RolloutLeader
            else -> VersionRolloutCodec.decode(key, value)
        }

    /** Encodes the item with which an instance publishes its own address and failure domain. */
    fun encodePeer(
        host: String,
        port: Int,
        domain: FailureDomain,
    ): ByteArray =
        buildJsonObject {
            put("address", JsonPrimitive(HostPort(host, port).toString()))
            put("failureDomain", JsonPrimitive(domain.value))
        }.toString().encodeToByteArray()

    /** Encodes the item that lists the customers that use most of their rate limit. */
    fun encodeHotCustomers(customers: Set<CustomerId>): ByteArray =
        buildJsonObject {
            putJsonArray("customers") { customers.forEach { add(it.value) } }
        }.toString().encodeToByteArray()

    /** Encodes the item that lists the blocked prompt parts and requests. */
    fun encodeBlockList(ids: Set<SuspectId>): ByteArray =
        buildJsonObject {
            putJsonArray("parts") { ids.mapNotNull { it.part }.forEach { add(it.value) } }
            putJsonArray("requests") { ids.mapNotNull { it.request }.forEach { add(it.value) } }
        }.toString().encodeToByteArray()

    /** Encodes the item that tells when target weights were set. */
    fun encodeTargetMoments(moments: List<TargetMoment>): ByteArray =
        buildJsonObject {
            putJsonArray("targets") {
                moments.forEach {
                    add(
                        buildJsonObject {
                            put("model", JsonPrimitive(it.model.value))
                            put("weights", JsonPrimitive(it.weights.value))
                            put("setAfterUnixMs", JsonPrimitive(it.unixMillis))
                        },
                    )
                }
            }
        }.toString().encodeToByteArray()

    /** Encodes the item that lists the software versions that served lately. */
    fun encodeServedVersions(versions: Set<ServedVersion>): ByteArray =
        buildJsonObject {
            putJsonArray("versions") {
                for (version in versions) {
                    addJsonObject {
                        put("service", version.service.value)
                        version.software?.let { put("software", it.value) }
                        version.untilUnixMillis?.let { put("until", it) }
                    }
                }
            }
        }.toString().encodeToByteArray()

    /** Encodes an item that tells of [streams]. */
    fun encodeBegunStreams(streams: Map<StreamOrigin, List<StreamTag>>): ByteArray =
        buildJsonObject {
            putJsonArray("streams") {
                for ((origin, tags) in streams) {
                    addJsonObject {
                        put("service", origin.service.value)
                        origin.software?.let { put("software", it.value) }
                        val bytes = ByteBuffer.allocate(tags.size * Long.SIZE_BYTES)
                        tags.forEach { bytes.putLong(it.value) }
                        put("tags", Base64.getEncoder().encodeToString(bytes.array()))
                    }
                }
            }
        }.toString().encodeToByteArray()

    private fun begunStreams(item: JsonObject): Map<StreamOrigin, List<StreamTag>> =
        item.objects("streams").associate { stream ->
            val bytes = ByteBuffer.wrap(Base64.getDecoder().decode(stream.string("tags")))
            if (bytes.remaining() % Long.SIZE_BYTES != 0) throw JsonFieldException("tags have an odd length")
            val tags = List(bytes.remaining() / Long.SIZE_BYTES) { StreamTag(bytes.getLong()) }
            StreamOrigin(ServiceName(stream.string("service")), software(stream, "software")) to tags
        }

    private fun targetMoments(item: JsonObject): List<TargetMoment> =
        item.objects("targets").map {
            TargetMoment(
                ModelName(it.string("model")),
                WeightsNumber(it.integer("weights")),
                it.integer("setAfterUnixMs"),
            )
        }

    private fun servedVersions(item: JsonObject): Set<ServedVersion> =
        item.objects("versions").mapTo(HashSet()) {
            ServedVersion(ServiceName(it.string("service")), software(it, "software"), it.integerOrNull("until"))
        }

    private fun software(
        item: JsonObject,
        field: String,
    ) = (item[field] as? JsonPrimitive)?.takeIf { it.isString }?.let { SoftwareVersion(it.content) }

    private fun blockList(item: JsonObject): Set<SuspectId> =
        item.strings("parts").mapTo(LinkedHashSet()) { SuspectId.of(PartId(it)) } +
            item.strings("requests").map { SuspectId.of(RequestFingerprint(it)) }

    private fun peer(
        name: String,
        item: JsonObject,
    ): PeerEntry {
        val address = address(item)
        return PeerEntry(name, address.host, address.port, FailureDomain(item.string("failureDomain")))
    }

    private fun address(item: JsonObject) =
        HostPort.parse(item.string("address")) ?: throw JsonFieldException("address is malformed")

    private fun targetWeights(item: JsonObject) =
        FleetUpdate.TargetWeights(ModelName(item.string("model")), WeightsNumber(item.integer("version")))

    private fun endpoint(
        id: EndpointId,
        item: JsonObject,
    ): EndpointEntry {
        // The id is sent in a header of each call.
        if (!ENDPOINT_ID.matches(id.value)) throw JsonFieldException("id is not printable")
        val address = address(item)
        val state = item.string("state")
        if (state != "ready" && state != "draining") throw JsonFieldException("unknown state $state")
        return EndpointEntry(
            id = id,
            service = ServiceName(item.string("service")),
            host = address.host,
            port = address.port,
            // The failure domain is called `zone` for endpoints and `failureDomain` for instances.
            domain = FailureDomain(item.string("zone")),
            slots = item.count("slots"),
            leaving = state == "draining",
            // `born` is the time at which the endpoint's process started.
            startedAtUnixMillis = item.integerOrNull("born") ?: 0,
            weights = weights(item),
            software = software(item, "version"),
        )
    }

    /** Decodes the loaded models of an endpoint item or of an engine's status. */
    fun weights(item: JsonObject): Map<ModelName, WeightsNumber> =
        item.objects("models").associate { ModelName(it.string("name")) to WeightsNumber(it.integer("version")) }

    private fun config(item: JsonObject): FleetConfig {
        if ("routes" !in item) throw JsonFieldException("routes is missing")
        return FleetConfig(
            number = item.integer("version"),
            routes = item.objects("routes").map(::route),
            // Entries with `kvStoreAddr` are not services that requests are sent to.
            services = item.objects("services").filter { "kvStoreAddr" !in it }.map(::service),
            // The platform calls customers tenants.
            customers = item.objects("tenants").map(::customer),
            limits = limits(item["limits"] as? JsonObject),
        )
    }

    private fun route(item: JsonObject): RoutePolicy {
        // `split` is empty or missing if the route has a single service, which `service` names.
        val targets =
            item
                .objects(
                    "split",
                ).map { RouteTarget(ServiceName(it.string("service")), it.integer("weight").toInt()) }
        return RoutePolicy(
            id = RouteId(item.string("name")),
            host = item.string("host").lowercase(),
            pathPrefix = item.string("prefix"),
            kind = kind(item.string("kind")),
            targets = targets.ifEmpty { listOf(RouteTarget(ServiceName(item.string("service")), 1)) },
            timeoutMillis = item.number("timeoutMs").toLong(),
            answerTargetMillis = item.numberOrNull("latencyTargetMs")?.toLong() ?: 0,
            // `maxAttempts` limits the number of endpoints that one request is sent to.
            maxEndpoints = item.integerOrNull("maxAttempts")?.toInt() ?: 1,
            priority = item.integerOrNull("priority")?.toInt() ?: 0,
            // Requests to a `public` route need no key.
            open = item.boolean("public"),
            resumable = item.boolean("resumable"),
        )
    }

    private fun kind(name: String) =
        when (name) {
            "idempotent" -> RequestKind.IDEMPOTENT
            "stream" -> RequestKind.STREAM
            // A request of an unknown kind must not be repeated.
            else -> RequestKind.NON_IDEMPOTENT
        }

    private fun service(item: JsonObject): ServiceSpec {
        val engine = item["engine"] as? JsonObject
        return ServiceSpec(
            name = ServiceName(item.string("name")),
            maxConnections = item.integerOrNull("maxConns")?.toInt() ?: Int.MAX_VALUE,
            engine =
                engine?.let {
                    EngineSpec(
                        slots = it.integer("slots").toInt(),
                        // `kvCapTokens` is the capacity of the KV cache in tokens.
                        memoryTokens = it.integer("kvCapTokens"),
                        transferMillisPerToken = transferMillisPerToken(it),
                        // `moves` tells whether another engine can continue a run.
                        supportsHandover = it.boolean("moves"),
                        models = it.objects("models").map { model -> ModelName(model.string("name")) },
                    )
                },
        )
    }

    private fun transferMillisPerToken(engine: JsonObject): Double {
        val bytes = engine.numberOrNull("kvTokenBytes") ?: return Double.MAX_VALUE
        val megabitsPerSecond = engine.numberOrNull("linkMbps")?.takeIf { it > 0 } ?: return Double.MAX_VALUE
        return bytes * BITS_PER_BYTE / (megabitsPerSecond * BITS_PER_MILLI_AT_1_MBPS)
    }

    private fun customer(item: JsonObject): CustomerSpec {
        val perSecond = item.numberOrNull("ratePerS") ?: 0.0
        return CustomerSpec(
            id = CustomerId(item.string("name")),
            keys = item.strings("apiKeys").mapTo(HashSet()) { KeyDigest.of(it) },
            priority = item.integerOrNull("priority")?.toInt(),
            // A rate of zero means that the customer has no limit.
            rate = if (perSecond > 0) RateLimit(perSecond, item.numberOrNull("burst") ?: 0.0) else null,
            // `plainTokens` is charged for a request that has no token counts.
            requestTokens = item.integerOrNull("plainTokens") ?: 1,
            isolated = item.boolean("isolated"),
        )
    }

    private fun limits(item: JsonObject?): CallerLimits {
        val defaults = CallerLimits()
        if (item == null) return defaults
        return CallerLimits(
            maxHeaderBytes = item.integerOrNull("maxHeaderBytes")?.toInt() ?: defaults.maxHeaderBytes,
            maxBodyBytes = item.integerOrNull("maxBodyBytes")?.toInt() ?: defaults.maxBodyBytes,
            headerTimeoutMillis = item.numberOrNull("headerTimeoutMs")?.toLong() ?: defaults.headerTimeoutMillis,
            idleTimeoutMillis = item.numberOrNull("idleTimeoutMs")?.toLong() ?: defaults.idleTimeoutMillis,
        )
    }
}
