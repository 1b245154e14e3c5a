package lacewingweir.transport.gateway

import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.Model
import lacewingweir.state.bundle.Route

/** Finds the routes of requests in one bundle. */
internal class RouteTable(
    val bundle: Bundle,
) {
    internal class ModelRoute(
        val route: Route,
        val model: Model,
    )

    private val models: Map<String, ModelRoute>
    private val serviceRoutes: List<Pair<String, Route>>

    init {
        val routesByName = LinkedHashMap<String, ModelRoute>()
        val modelRoutes =
            bundle.routes.mapNotNull { route ->
                route.model?.let(bundle::model)?.let { ModelRoute(route, it) }
            }
        // Route ids are added first, so that they take precedence over equal model names.
        modelRoutes.forEach { routesByName.putIfAbsent(it.route.id.value, it) }
        modelRoutes.forEach { routesByName.putIfAbsent(it.model.name.value, it) }
        models = routesByName
        serviceRoutes =
            bundle.routes
                .mapNotNull { route -> route.path?.let { it.trim('/') to route } }
                .sortedByDescending { it.first.length }
    }

    /** The names that the `model` field of a request may have: route ids and model names. */
    val requestableNames: List<String>
        get() = models.keys.toList()

    /** Returns the route whose id or model name is [name], or null if there is none. */
    fun model(name: String): ModelRoute? = models[name]

    /**
     * Returns the service route with the longest path that matches [path], or null if there is none.
     *
     * [path] is the decoded request path below `/services/`.
     */
    fun service(path: String): Route? =
        serviceRoutes.firstOrNull { (prefix, _) -> path == prefix || path.startsWith("$prefix/") }?.second
}
