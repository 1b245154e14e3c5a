package lacewingweir.transport.gateway

import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.Model
import lacewingweir.state.bundle.Route

/** Finds the route of a request in one bundle. */
internal class RouteTable(
    val bundle: Bundle,
) {
    internal class ModelRoute(
        val route: Route,
        val model: Model,
    )

    private val models: Map<String, ModelRoute>
    private val services: List<Pair<String, Route>>

    init {
        val byName = LinkedHashMap<String, ModelRoute>()
        val modelRoutes =
            bundle.routes.mapNotNull { route ->
                route.model?.let(bundle::model)?.let { ModelRoute(route, it) }
            }
        // Route ids go first: a name that is both a route id and a model's name means the route.
        modelRoutes.forEach { byName.putIfAbsent(it.route.id.value, it) }
        modelRoutes.forEach { byName.putIfAbsent(it.model.name.value, it) }
        models = byName
        services =
            bundle.routes
                .mapNotNull { route -> route.path?.let { it.trim('/') to route } }
                .sortedByDescending { it.first.length }
    }

    val modelNames: List<String>
        get() = models.keys.toList()

    fun model(name: String): ModelRoute? = models[name]

    /** The service route with the longest matching path. [path] is the decoded path below `/services/`. */
    fun service(path: String): Route? =
        services.firstOrNull { (prefix, _) -> path == prefix || path.startsWith("$prefix/") }?.second
}
