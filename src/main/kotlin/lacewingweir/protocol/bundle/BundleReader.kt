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

/** Reads a bundle from a JSON document and reports every violated rule at the cursor of the value. */
internal class BundleReader(
    private val document: JsonCursor,
) {
    fun read(): Bundle {
        val root = document.requireObject("number", "customers", "models", "endpoints", "routes", "rollout")
        val customers = root.field("customers").items(contents = "customers")
        val models = root.field("models").items(contents = "models")
        val endpoints = root.field("endpoints").items(contents = "endpoints")
        val routes = root.field("routes").items(contents = "routes")
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

    private fun customer(cursor: JsonCursor): Customer {
        val obj = cursor.requireObject("id", "tokensPerSecond", "burstTokens", "weight", "keys")
        return Customer(
            id = CustomerId(obj.field("id").text(TextRule.ID)),
            tokensPerSecond = obj.field("tokensPerSecond").integer(1..MAX_TOKENS),
            burstTokens = obj.field("burstTokens").integer(1..MAX_TOKENS),
            weight = obj.field("weight").integer(1L..MAX_WEIGHT, default = 1).toInt(),
            keys =
                obj
                    .field(
                        "keys",
                    ).items(optional = true, contents = "digests")
                    .map { KeyDigest(it.text(TextRule.DIGEST)) },
        )
    }

    private fun model(cursor: JsonCursor): Model {
        val obj = cursor.requireObject("name", "weights", "adapters", "bytesPerToken", "maxAnswerTokens", "pieceTokens")
        val adapters = obj.field("adapters").items(optional = true, contents = "names")
        val adapterNames = adapters.map { AdapterName(it.text(TextRule.MODEL_NAME)) }
        adapters.reportDuplicates("") { adapterNames[it].value }
        return Model(
            name = ModelName(obj.field("name").text(TextRule.MODEL_NAME)),
            weights = WeightsVersion(obj.field("weights").text(TextRule.MODEL_NAME)),
            adapters = adapterNames,
            bytesPerToken = obj.field("bytesPerToken").integer(1L..MAX_BYTES_PER_TOKEN, default = 4).toInt(),
            maxAnswerTokens = obj.field("maxAnswerTokens").integer(1L..MAX_MODEL_TOKENS, default = 1024).toInt(),
            pieceTokens = obj.field("pieceTokens").integer(1L..MAX_MODEL_TOKENS, default = 2000).toInt(),
        )
    }

    private fun endpoint(cursor: JsonCursor): Endpoint {
        val obj =
            cursor.requireObject("id", "kind", "host", "port", "failureDomain", "models", "checksFencing", "slots")
        return Endpoint(
            id = EndpointId(obj.field("id").text(TextRule.ID)),
            kind = obj.field("kind").choice(endpointKinds),
            host = obj.field("host").text(TextRule.IP_ADDRESS),
            port = obj.field("port").integer(1L..MAX_PORT).toInt(),
            failureDomain = FailureDomain(obj.field("failureDomain").text(TextRule.ID)),
            models =
                obj.field("models").items(optional = true, contents = "model names").map {
                    ModelName(it.text(TextRule.MODEL_NAME))
                },
            checksFencing = obj.field("checksFencing").boolean(default = true),
            slots = obj.field("slots").integer(1L..MAX_SLOTS, default = 32).toInt(),
        )
    }

    private fun route(cursor: JsonCursor): Route {
        val obj =
            cursor.requireObject(
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
        val model = obj.field("model")
        val path = obj.field("path")
        return Route(
            id = RouteId(obj.field("id").text(TextRule.ID)),
            trafficClass = obj.field("trafficClass").choice(trafficClasses),
            model = if (model.isPresent) ModelName(model.text(TextRule.MODEL_NAME)) else null,
            path = if (path.isPresent) path.text(TextRule.ROUTE_PATH) else null,
            services =
                obj.field("services").items(optional = true, contents = "endpoint ids").map {
                    EndpointId(it.text(TextRule.ID))
                },
            open = obj.field("open").boolean(default = false),
            repeatable = obj.field("repeatable").boolean(default = true),
            claimOutage = obj.field("claimOutage").choice(claimOutages, default = ClaimOutagePolicy.REFUSE),
            deadlineMillis = obj.field("deadlineMillis").integer(1L..MAX_DEADLINE_MILLIS, default = 30_000),
        )
    }

    private fun rollout(cursor: JsonCursor): RolloutLimits {
        if (!cursor.isPresent) return RolloutLimits()
        val loads = cursor.requireObject("maxConcurrentLoads").field("maxConcurrentLoads")
        return RolloutLimits(maxConcurrentLoads = loads.integer(1L..MAX_LOADS, default = 2).toInt())
    }

    private fun checkCustomers(
        bundle: Bundle,
        cursors: List<JsonCursor>,
    ) {
        cursors.reportDuplicates("id") { bundle.customers[it].id.value }
        val keyCursors = cursors.flatMap { it.field("keys").itemsOrEmpty() }
        val keys = bundle.customers.flatMap { it.keys }
        keyCursors.reportDuplicates("") { keys[it].value }
        val largestAnswer = bundle.models.maxOfOrNull { it.maxAnswerTokens } ?: return
        bundle.customers.forEachIndexed { i, customer ->
            if (customer.burstTokens <= largestAnswer) {
                cursors[i].field("burstTokens").report(
                    "more than $largestAnswer (the largest maxAnswerTokens), so that the burst covers any request",
                )
            }
        }
    }

    private fun checkModels(
        bundle: Bundle,
        cursors: List<JsonCursor>,
    ) {
        cursors.reportDuplicates("name") { bundle.models[it].name.value }
        val servedModels =
            bundle.endpoints
                .filter { it.kind == EndpointKind.ENGINE }
                .flatMap { it.models }
                .toSet()
        bundle.models.forEachIndexed { i, model ->
            if (model.name.value.isNotEmpty() && model.name !in servedModels) {
                cursors[i].field("name").report("a model that at least one endpoint of kind engine lists in its models")
            }
        }
    }

    private fun checkEndpoints(
        bundle: Bundle,
        cursors: List<JsonCursor>,
    ) {
        cursors.reportDuplicates("id") { bundle.endpoints[it].id.value }
        cursors.reportDuplicates("port") {
            val endpoint = bundle.endpoints[it]
            if (endpoint.host.isEmpty()) "" else "${endpoint.host} ${endpoint.port}"
        }
        val names = bundle.models.map { it.name }.toSet()
        bundle.endpoints.forEachIndexed { i, endpoint ->
            val modelsCursor = cursors[i].field("models")
            if (endpoint.kind == EndpointKind.SERVICE && endpoint.models.isNotEmpty()) {
                modelsCursor.report("no models for an endpoint of kind service")
            }
            if (endpoint.kind == EndpointKind.ENGINE && endpoint.models.isEmpty() && endpoint.id.value.isNotEmpty()) {
                modelsCursor.report("at least one model for an endpoint of kind engine")
            }
            val modelCursors = modelsCursor.itemsOrEmpty()
            modelCursors.reportDuplicates("") { endpoint.models[it].value }
            endpoint.models.forEachIndexed { m, model ->
                if (model.value.isNotEmpty() && model !in names) modelCursors[m].report(oneOf(names.map { it.value }))
            }
        }
    }

    private fun checkRoutes(
        bundle: Bundle,
        cursors: List<JsonCursor>,
    ) {
        cursors.reportDuplicates("id") { bundle.routes[it].id.value }
        cursors.reportDuplicates("path") { bundle.routes[it].path.orEmpty() }
        bundle.routes.forEachIndexed { i, route ->
            val obj = cursors[i]
            if (route.model != null) checkModelRoute(bundle, route, obj) else checkServiceRoute(bundle, route, obj)
        }
    }

    private fun checkModelRoute(
        bundle: Bundle,
        route: Route,
        obj: JsonCursor,
    ) {
        val names = bundle.models.map { it.name.value }
        val model = route.model?.value.orEmpty()
        if (model.isNotEmpty() && model !in names) obj.field("model").report(oneOf(names))
        if (route.services.isNotEmpty()) obj.field("services").report("either model or services, not both")
        if (route.path != null) obj.field("path").report("no path on a route to a model")
        if (route.open) obj.field("open").report("false on a route to a model, as tokens are charged to a customer")
        if (!route.repeatable) obj.field("repeatable").report("true on a route to a model")
        if (route.id.value != model && route.id.value in names) {
            obj.field("id").report("an id that is not the name of another model, as callers can select by either")
        }
    }

    private fun checkServiceRoute(
        bundle: Bundle,
        route: Route,
        obj: JsonCursor,
    ) {
        if (route.id.value.isEmpty()) return
        val services = obj.field("services")
        if (route.services.isEmpty()) services.report("at least one service, or a model instead")
        if (route.path == null) obj.field("path").report("a path on a route to services")
        val serviceCursors = services.itemsOrEmpty()
        serviceCursors.reportDuplicates("") { route.services[it].value }
        route.services.forEachIndexed { s, id ->
            if (id.value.isNotEmpty() && bundle.endpoint(id)?.kind != EndpointKind.SERVICE) {
                val serviceIds = bundle.endpoints.filter { it.kind == EndpointKind.SERVICE }.map { it.id.value }
                serviceCursors[s].report("an endpoint of kind service: ${oneOf(serviceIds)}")
            }
        }
    }

    /** Returns the items of a list that was read before. A value of another type yields no items and no new error. */
    private fun JsonCursor.itemsOrEmpty(): List<JsonCursor> = if (isList) items() else emptyList()

    private fun oneOf(names: List<String>): String {
        val listed = names.filter { it.isNotEmpty() }.take(MAX_LISTED_NAMES).joinToString()
        return "one of " + listed + if (names.size > MAX_LISTED_NAMES) ", ..." else ""
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
        const val MAX_LISTED_NAMES: Int = 20

        val endpointKinds = mapOf("engine" to EndpointKind.ENGINE, "service" to EndpointKind.SERVICE)
        val trafficClasses = mapOf("interactive" to TrafficClass.INTERACTIVE, "batch" to TrafficClass.BATCH)
        val claimOutages =
            mapOf(
                "refuse" to ClaimOutagePolicy.REFUSE,
                "runWithoutClaim" to ClaimOutagePolicy.RUN_WITHOUT_CLAIM,
            )
    }
}
