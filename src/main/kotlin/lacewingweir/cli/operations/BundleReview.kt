package lacewingweir.cli.operations

import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.ClaimOutagePolicy
import lacewingweir.state.bundle.EndpointKind
import lacewingweir.state.id.ModelName

/**
 * Finds what is probably wrong with a bundle that follows all rules of its format: entries without any effect, and
 * limits that contradict each other.
 */
internal object BundleReview {
    /** Returns a line with path and reason for each finding in [bundle], in the order of the bundle's parts. */
    fun findings(bundle: Bundle): List<String> = deadEntries(bundle) + contradictions(bundle)

    /** Returns a line for each change from [old], the bundle in force, to [new] that takes something from callers. */
    fun risks(
        old: Bundle,
        new: Bundle,
    ): List<String> =
        buildList {
            if (new.number <= old.number) {
                add("number: ${new.number} is not higher than ${old.number}, so that no instance adopts the bundle")
            }
            val newKeys = new.customers.flatMap { it.keys }.toSet()
            for (customer in old.customers) {
                val lost = customer.keys.count { it !in newKeys }
                val path = "customers[${customer.id}]"
                when {
                    new.customer(customer.id) == null -> add("$path: removed; its callers are refused")
                    lost > 0 -> add("$path.keys: $lost of ${customer.keys.size} removed; their callers are refused")
                }
            }
            for (route in old.routes.filter { old -> new.routes.none { it.id == old.id } }) {
                add("routes[${route.id}]: removed; its requests are refused")
            }
            for (model in new.models) {
                val before = enginesOf(old, model.name)
                val after = enginesOf(new, model.name)
                if (after * 2 < before) add("models[${model.name}]: $after of $before engines are left")
            }
        }

    private fun deadEntries(bundle: Bundle): List<String> =
        buildList {
            for (customer in bundle.customers.filter { it.keys.isEmpty() }) {
                add("customers[${customer.id}].keys: none; only a key that is granted separately gives access")
            }
            val requested = bundle.routes.mapNotNull { it.model }.toSet()
            for (model in bundle.models.filter { it.name !in requested }) {
                add("models[${model.name}]: no route leads to it, so that it is never requested")
            }
            val called = bundle.routes.flatMap { it.services }.toSet()
            for (endpoint in bundle.endpoints) {
                val isCalled = endpoint.id in called || endpoint.models.any { it in requested }
                if (!isCalled) add("endpoints[${endpoint.id}]: no route leads to it, so that it gets no requests")
            }
            val repeatable = bundle.routes.filter { it.repeatable }
            for (route in repeatable.filter { it.claimOutage != ClaimOutagePolicy.REFUSE }) {
                add("routes[${route.id}].claimOutage: has no effect on a route that is repeatable")
            }
        }

    private fun contradictions(bundle: Bundle): List<String> =
        buildList {
            val modelRoutes = bundle.routes.filter { it.model != null }
            val longestDeadlineMillis = modelRoutes.maxOfOrNull { it.deadlineMillis } ?: 0
            val largestAnswer = bundle.models.maxOfOrNull { it.maxAnswerTokens } ?: 0
            for (customer in bundle.customers) {
                val refillMillis = largestAnswer * 1_000L / customer.tokensPerSecond
                if (modelRoutes.isNotEmpty() && refillMillis > longestDeadlineMillis) {
                    add(
                        "customers[${customer.id}].tokensPerSecond: one answer of $largestAnswer tokens takes " +
                            "$refillMillis ms of the rate, longer than any deadlineMillis ($longestDeadlineMillis)",
                    )
                }
            }
            val loads = bundle.rollout.maxConcurrentLoads
            for (model in bundle.models) {
                val engines = enginesOf(bundle, model.name)
                if (engines in 1..loads) {
                    add(
                        "rollout.maxConcurrentLoads: $loads covers all $engines engines of ${model.name}, " +
                            "so that new weights can stop it from being served",
                    )
                }
            }
        }

    private fun enginesOf(
        bundle: Bundle,
        model: ModelName,
    ): Int =
        bundle.endpoints.count { endpoint ->
            endpoint.kind == EndpointKind.ENGINE && model in endpoint.models
        }
}
