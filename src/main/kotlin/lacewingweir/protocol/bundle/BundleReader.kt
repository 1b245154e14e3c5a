package lacewingweir.protocol.bundle

import lacewingweir.protocol.json.JsonCursor
import lacewingweir.protocol.json.TextRule
import lacewingweir.protocol.json.reportDuplicates
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.ClaimOutagePolicy
import lacewingweir.state.bundle.Customer
import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.bundle.EndpointKind
import lacewingweir.state.bundle.Model
import lacewingweir.state.bundle.RolloutLimits
import lacewingweir.state.bundle.Route
import lacewingweir.state.bundle.TrafficClass
import lacewingweir.state.id.AdapterName
import lacewingweir.state.id.BundleNumber
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.KeyDigest
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.RouteId
import lacewingweir.state.id.WeightsVersion

/** Reads one bundle document and records its mistakes at the cursor. */
internal class BundleReader(
    private val document: JsonCursor,
) {
    fun read(): Bundle {
        val root = document.requireObject("number", "customers", "models", "endpoints", "routes", "rollout")
        val customers = root.field("customers").items(of = "customers")
        val models = root.field("models").items(of = "models")
        val endpoints = root.field("endpoints").items(of = "endpoints")
        val routes = root.field("routes").items(of = "routes")
        val bundle =
            Bundle(
                number = BundleNumber(root.field("number").integer(1..Long.MAX_VALUE)),
                customers = customers.map(::customer),
                models = models.map(::model),
                endpoints = endpoints.map(::endpoint),
                routes = routes.map(::route),
                rollout = rollout(root.field("rollout")),
            )
        checkCustomers(bundle, customers)
        checkModels(bundle, models)
        checkEndpoints(bundle, endpoints)
        checkRoutes(bundle, routes)
        return bundle
    }

    private fun customer(at: JsonCursor): Customer {
        val item = at.requireObject("id", "tokensPerSecond", "burstTokens", "weight", "keys")
        return Customer(
            id = CustomerId(item.field("id").text(TextRule.ID)),
            tokensPerSecond = item.field("tokensPerSecond").integer(1..MAX_TOKENS),
            burstTokens = item.field("burstTokens").integer(1..MAX_TOKENS),
            weight = item.field("weight").integer(1L..MAX_WEIGHT, default = 1).toInt(),
            keys =
                item
                    .field(
                        "keys",
                    ).items(optional = true, of = "digests")
                    .map { KeyDigest(it.text(TextRule.DIGEST)) },
        )
    }

    private fun model(at: JsonCursor): Model {
        val item = at.requireObject("name", "weights", "adapters", "bytesPerToken", "maxAnswerTokens", "pieceTokens")
        val adapters = item.field("adapters").items(optional = true, of = "names")
        val names = adapters.map { AdapterName(it.text(TextRule.MODEL_NAME)) }
        adapters.reportDuplicates("") { names[it].value }
        return Model(
            name = ModelName(item.field("name").text(TextRule.MODEL_NAME)),
            weights = WeightsVersion(item.field("weights").text(TextRule.MODEL_NAME)),
            adapters = names,
            bytesPerToken = item.field("bytesPerToken").integer(1L..MAX_BYTES_PER_TOKEN, default = 4).toInt(),
            maxAnswerTokens = item.field("maxAnswerTokens").integer(1L..MAX_MODEL_TOKENS, default = 1024).toInt(),
            pieceTokens = item.field("pieceTokens").integer(1L..MAX_MODEL_TOKENS, default = 2000).toInt(),
        )
    }

    private fun endpoint(at: JsonCursor): Endpoint {
        val item =
            at.requireObject("id", "kind", "host", "port", "failureDomain", "models", "checksFencing", "slots")
        return Endpoint(
            id = EndpointId(item.field("id").text(TextRule.ID)),
            kind = item.field("kind").choice(endpointKinds),
            host = item.field("host").text(TextRule.IP_ADDRESS),
            port = item.field("port").integer(1L..MAX_PORT).toInt(),
            failureDomain = FailureDomain(item.field("failureDomain").text(TextRule.ID)),
            models =
                item.field("models").items(optional = true, of = "model names").map {
                    ModelName(it.text(TextRule.MODEL_NAME))
                },
            checksFencing = item.field("checksFencing").boolean(default = true),
            slots = item.field("slots").integer(1L..MAX_SLOTS, default = 32).toInt(),
        )
    }

    private fun route(at: JsonCursor): Route {
        val item =
            at.requireObject(
                "id",
                "trafficClass",
                "model",
                "path",
                "services",
                "open",
                "repeatable",
                "claimOutage",
                "deadlineMillis",
            )
        val model = item.field("model")
        val path = item.field("path")
        return Route(
            id = RouteId(item.field("id").text(TextRule.ID)),
            trafficClass = item.field("trafficClass").choice(trafficClasses),
            model = if (model.isPresent) ModelName(model.text(TextRule.MODEL_NAME)) else null,
            path = if (path.isPresent) path.text(TextRule.ROUTE_PATH) else null,
            services =
                item.field("services").items(optional = true, of = "endpoint ids").map {
                    EndpointId(it.text(TextRule.ID))
                },
            open = item.field("open").boolean(default = false),
            repeatable = item.field("repeatable").boolean(default = true),
            claimOutage = item.field("claimOutage").choice(claimOutages, default = ClaimOutagePolicy.REFUSE),
            deadlineMillis = item.field("deadlineMillis").integer(1L..MAX_DEADLINE_MILLIS, default = 30_000),
        )
    }

    private fun rollout(at: JsonCursor): RolloutLimits {
        if (!at.isPresent) return RolloutLimits()
        val loads = at.requireObject("maxConcurrentLoads").field("maxConcurrentLoads")
        return RolloutLimits(maxConcurrentLoads = loads.integer(1L..MAX_LOADS, default = 2).toInt())
    }

    private fun checkCustomers(
        bundle: Bundle,
        items: List<JsonCursor>,
    ) {
        items.reportDuplicates("id") { bundle.customers[it].id.value }
        val keyCursors = items.flatMap { it.field("keys").itemsOrEmpty() }
        val keys = bundle.customers.flatMap { it.keys }
        keyCursors.reportDuplicates("") { keys[it].value }
        val largestAnswer = bundle.models.maxOfOrNull { it.maxAnswerTokens } ?: return
        bundle.customers.forEachIndexed { i, customer ->
            if (customer.burstTokens <= largestAnswer) {
                items[i].field("burstTokens").report(
                    "more than $largestAnswer (the largest maxAnswerTokens), so that one request fits",
                )
            }
        }
    }

    private fun checkModels(
        bundle: Bundle,
        items: List<JsonCursor>,
    ) {
        items.reportDuplicates("name") { bundle.models[it].name.value }
        val served =
            bundle.endpoints
                .filter { it.kind == EndpointKind.ENGINE }
                .flatMap { it.models }
                .toSet()
        bundle.models.forEachIndexed { i, model ->
            if (model.name.value.isNotEmpty() && model.name !in served) {
                items[i].field("name").report("a model that at least one engine lists in its models")
            }
        }
    }

    private fun checkEndpoints(
        bundle: Bundle,
        items: List<JsonCursor>,
    ) {
        items.reportDuplicates("id") { bundle.endpoints[it].id.value }
        items.reportDuplicates("port") {
            val endpoint = bundle.endpoints[it]
            if (endpoint.host.isEmpty()) "" else "${endpoint.host} ${endpoint.port}"
        }
        val names = bundle.models.map { it.name }.toSet()
        bundle.endpoints.forEachIndexed { i, endpoint ->
            val listed = items[i].field("models")
            if (endpoint.kind == EndpointKind.SERVICE && endpoint.models.isNotEmpty()) {
                listed.report("no models for an endpoint of kind service")
            }
            if (endpoint.kind == EndpointKind.ENGINE && endpoint.models.isEmpty() && endpoint.id.value.isNotEmpty()) {
                listed.report("at least one model for an endpoint of kind engine")
            }
            val cursors = listed.itemsOrEmpty()
            cursors.reportDuplicates("") { endpoint.models[it].value }
            endpoint.models.forEachIndexed { m, model ->
                if (model.value.isNotEmpty() && model !in names) cursors[m].report(oneOf(names.map { it.value }))
            }
        }
    }

    private fun checkRoutes(
        bundle: Bundle,
        items: List<JsonCursor>,
    ) {
        items.reportDuplicates("id") { bundle.routes[it].id.value }
        items.reportDuplicates("path") { bundle.routes[it].path.orEmpty() }
        bundle.routes.forEachIndexed { i, route ->
            val item = items[i]
            if (route.model != null) checkModelRoute(bundle, route, item) else checkServiceRoute(bundle, route, item)
        }
    }

    private fun checkModelRoute(
        bundle: Bundle,
        route: Route,
        item: JsonCursor,
    ) {
        val names = bundle.models.map { it.name.value }
        val model = route.model?.value.orEmpty()
        if (model.isNotEmpty() && model !in names) item.field("model").report(oneOf(names))
        if (route.services.isNotEmpty()) item.field("services").report("either model or services, not both")
        if (route.path != null) item.field("path").report("no path on a route to a model")
        if (route.open) item.field("open").report("false on a route to a model, whose tokens need a customer")
        if (!route.repeatable) item.field("repeatable").report("true on a route to a model")
        if (route.id.value != model && route.id.value in names) {
            item.field("id").report("an id that is not the name of another model; callers pick a route by either")
        }
    }

    private fun checkServiceRoute(
        bundle: Bundle,
        route: Route,
        item: JsonCursor,
    ) {
        if (route.id.value.isEmpty()) return
        val services = item.field("services")
        if (route.services.isEmpty()) services.report("a model, or at least one service")
        if (route.path == null) item.field("path").report("a path on a route to services")
        val cursors = services.itemsOrEmpty()
        cursors.reportDuplicates("") { route.services[it].value }
        route.services.forEachIndexed { s, id ->
            if (id.value.isNotEmpty() && bundle.endpoint(id)?.kind != EndpointKind.SERVICE) {
                val known = bundle.endpoints.filter { it.kind == EndpointKind.SERVICE }.map { it.id.value }
                cursors[s].report("an endpoint of kind service: ${oneOf(known)}")
            }
        }
    }

    /** The items of a list that was already read, without reporting its shape again. */
    private fun JsonCursor.itemsOrEmpty(): List<JsonCursor> = if (isList) items() else emptyList()

    private fun oneOf(names: List<String>): String {
        val shown = names.filter { it.isNotEmpty() }.take(SHOWN_NAMES).joinToString()
        return "one of " + shown + if (names.size > SHOWN_NAMES) ", ..." else ""
    }

    private companion object {
        const val MAX_TOKENS: Long = 1_000_000_000_000
        const val MAX_WEIGHT: Long = 1_000
        const val MAX_BYTES_PER_TOKEN: Long = 64
        const val MAX_MODEL_TOKENS: Long = 10_000_000
        const val MAX_PORT: Long = 65_535
        const val MAX_SLOTS: Long = 100_000
        const val MAX_LOADS: Long = 10_000
        const val MAX_DEADLINE_MILLIS: Long = 86_400_000
        const val SHOWN_NAMES: Int = 20

        val endpointKinds = mapOf("engine" to EndpointKind.ENGINE, "service" to EndpointKind.SERVICE)
        val trafficClasses = mapOf("interactive" to TrafficClass.INTERACTIVE, "batch" to TrafficClass.BATCH)
        val claimOutages =
            mapOf(
                "refuse" to ClaimOutagePolicy.REFUSE,
                "runWithoutClaim" to ClaimOutagePolicy.RUN_WITHOUT_CLAIM,
            )
    }
}
