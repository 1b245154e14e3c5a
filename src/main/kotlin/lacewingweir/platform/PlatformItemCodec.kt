/** Reads the items of the platform's store. */
package lacewingweir.platform

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
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
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.KeyDigest
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.RouteId
import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.WeightsNumber

internal object PlatformItemCodec {
    private const val BITS_PER_BYTE = 8
    private const val BITS_PER_MILLI_AND_MEGABIT = 1_000

    /** Reads one item; null for keys that mean nothing to instances. */
    fun decode(
        key: String,
        value: ByteArray,
    ): FleetUpdate? =
        try {
            when {
                key == PlatformKeys.CONFIG -> FleetUpdate.Config(config(parseObject(value)))
                key.startsWith(PlatformKeys.TARGET_WEIGHTS_PREFIX) -> namedWeights(parseObject(value))
                key.startsWith(PlatformKeys.ENDPOINT_PREFIX) ->
                    FleetUpdate.Endpoint(
                        endpoint(EndpointId(key.removePrefix(PlatformKeys.ENDPOINT_PREFIX)), parseObject(value)),
                    )
                key.startsWith(PlatformKeys.INSTANCE_PREFIX) ->
                    FleetUpdate.Peer(peer(key.removePrefix(PlatformKeys.INSTANCE_PREFIX), parseObject(value)))
                key == PlatformKeys.HOT_CUSTOMERS ->
                    FleetUpdate.HotCustomers(parseObject(value).texts("customers").mapTo(HashSet()) { CustomerId(it) })
                key == PlatformKeys.ROLLOUT_LEASE -> FleetUpdate.RolloutLeader
                else -> null
            }
        } catch (e: IllegalArgumentException) {
            FleetUpdate.Unreadable(e.message ?: "malformed")
        } catch (e: SerializationException) {
            FleetUpdate.Unreadable(e.message ?: "malformed")
        } catch (e: CharacterCodingException) {
            FleetUpdate.Unreadable("not UTF-8: ${e.message}")
        }

    /** This instance's own item. */
    fun encodePeer(
        host: String,
        port: Int,
        domain: FailureDomain,
    ): ByteArray =
        buildJsonObject {
            put("address", JsonPrimitive(HostPort(host, port).toString()))
            put("failureDomain", JsonPrimitive(domain.value))
        }.toString().encodeToByteArray()

    /** The item that names the customers that use most of their rate. */
    fun encodeHotCustomers(customers: Set<CustomerId>): ByteArray =
        buildJsonObject {
            putJsonArray("customers") { customers.forEach { add(it.value) } }
        }.toString().encodeToByteArray()

    private fun peer(
        name: String,
        item: JsonObject,
    ): PeerEntry {
        val address = address(item)
        return PeerEntry(name, address.host, address.port, FailureDomain(item.text("failureDomain")))
    }

    private fun address(item: JsonObject) =
        HostPort.parse(item.text("address")) ?: throw JsonFieldException("address is malformed")

    private fun namedWeights(item: JsonObject) =
        FleetUpdate.TargetWeights(ModelName(item.text("model")), WeightsNumber(item.whole("version")))

    private fun endpoint(
        id: EndpointId,
        item: JsonObject,
    ): EndpointEntry {
        val address = address(item)
        val state = item.text("state")
        if (state != "ready" && state != "draining") throw JsonFieldException("state $state is unknown")
        return EndpointEntry(
            id = id,
            service = ServiceName(item.text("service")),
            host = address.host,
            port = address.port,
            domain = FailureDomain(item.text("zone")),
            slots = item.whole("slots").toInt(),
            leaving = state == "draining",
            // The moment of the endpoint's start; `version` is that of its software and means nothing here.
            startedAtUnixMillis = item.wholeOrNull("born") ?: 0,
            weights = weights(item),
        )
    }

    /** The loaded models of an item or a report. */
    fun weights(item: JsonObject): Map<ModelName, WeightsNumber> =
        item.objects("models").associate { ModelName(it.text("name")) to WeightsNumber(it.whole("version")) }

    private fun config(item: JsonObject): FleetConfig =
        FleetConfig(
            number = item.whole("version"),
            routes = item.objects("routes").map(::route),
            services = item.objects("services").filter { "kvStoreAddr" !in it }.map(::service),
            customers = item.objects("tenants").map(::customer),
            limits = limits(item["limits"] as? JsonObject),
        )

    private fun route(item: JsonObject): RoutePolicy {
        val split =
            item
                .objects(
                    "split",
                ).map { RouteTarget(ServiceName(it.text("service")), it.whole("weight").toInt()) }
        return RoutePolicy(
            id = RouteId(item.text("name")),
            host = item.text("host").lowercase(),
            pathPrefix = item.text("prefix"),
            kind = kind(item.text("kind")),
            targets = split.ifEmpty { listOf(RouteTarget(ServiceName(item.text("service")), 1)) },
            timeoutMillis = item.number("timeoutMs").toLong(),
            answerTargetMillis = item.numberOrNull("latencyTargetMs")?.toLong() ?: 0,
            maxEndpoints = item.wholeOrNull("maxAttempts")?.toInt() ?: 1,
            priority = item.wholeOrNull("priority")?.toInt() ?: 0,
            open = item.flag("public"),
            resumable = item.flag("resumable"),
        )
    }

    private fun kind(text: String) =
        when (text) {
            "idempotent" -> RequestKind.IDEMPOTENT
            "stream" -> RequestKind.STREAM
            // Of a kind that is not known, nothing may be repeated.
            else -> RequestKind.NON_IDEMPOTENT
        }

    private fun service(item: JsonObject): ServiceSpec {
        val engine = item["engine"] as? JsonObject
        return ServiceSpec(
            name = ServiceName(item.text("name")),
            maxConnections = item.wholeOrNull("maxConns")?.toInt() ?: Int.MAX_VALUE,
            engine =
                engine?.let {
                    EngineSpec(
                        slots = it.whole("slots").toInt(),
                        memoryTokens = it.whole("kvCapTokens"),
                        transferMillisPerToken = transferMillisPerToken(it),
                        supportsHandover = it.flag("moves"),
                        models = it.objects("models").map { model -> ModelName(model.text("name")) },
                    )
                },
        )
    }

    private fun transferMillisPerToken(engine: JsonObject): Double {
        val bytes = engine.numberOrNull("kvTokenBytes") ?: return Double.MAX_VALUE
        val megabitsPerSecond = engine.numberOrNull("linkMbps")?.takeIf { it > 0 } ?: return Double.MAX_VALUE
        return bytes * BITS_PER_BYTE / (megabitsPerSecond * BITS_PER_MILLI_AND_MEGABIT)
    }

    private fun customer(item: JsonObject): CustomerSpec {
        val perSecond = item.numberOrNull("ratePerS") ?: 0.0
        return CustomerSpec(
            id = CustomerId(item.text("name")),
            keys = item.texts("apiKeys").mapTo(HashSet()) { KeyDigest.of(it) },
            priority = item.wholeOrNull("priority")?.toInt(),
            // Zero means no limit.
            rate = if (perSecond > 0) RateLimit(perSecond, item.numberOrNull("burst") ?: 0.0) else null,
            requestTokens = item.wholeOrNull("plainTokens") ?: 1,
            isolated = item.flag("isolated"),
        )
    }

    private fun limits(item: JsonObject?): CallerLimits {
        val defaults = CallerLimits()
        if (item == null) return defaults
        return CallerLimits(
            maxHeaderBytes = item.wholeOrNull("maxHeaderBytes")?.toInt() ?: defaults.maxHeaderBytes,
            maxBodyBytes = item.wholeOrNull("maxBodyBytes")?.toInt() ?: defaults.maxBodyBytes,
            headerTimeoutMillis = item.numberOrNull("headerTimeoutMs")?.toLong() ?: defaults.headerTimeoutMillis,
            idleTimeoutMillis = item.numberOrNull("idleTimeoutMs")?.toLong() ?: defaults.idleTimeoutMillis,
        )
    }
}
