package lacewingweir.state.stop

import lacewingweir.state.id.RouteId

/** How long the latest answers on each route took. Thread-safe. */
internal class AnswerTimes {
    private class Latest {
        private val millis = ArrayDeque<Long>(SAMPLES)

        fun add(value: Long) {
            if (millis.size == SAMPLES) millis.removeFirst()
            millis.addLast(value)
        }

        fun usual(): Long? = if (millis.size < MIN_SAMPLES) null else millis.sorted()[millis.size * 3 / 4]
    }

    private val routes =
        object : LinkedHashMap<RouteId, Latest>(MAX_ROUTES, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: Map.Entry<RouteId, Latest>): Boolean = size > MAX_ROUTES
        }

    /** Records that an answer on [route] took [millis] from the arrival of its call to its end. */
    @Synchronized
    fun record(
        route: RouteId,
        millis: Long,
    ) = routes.getOrPut(route) { Latest() }.add(millis)

    /**
     * Returns the time in milliseconds that three in four of the latest answers on [route] took at most, or null if too
     * few are known.
     */
    @Synchronized
    fun usualMillis(route: RouteId): Long? = routes[route]?.usual()

    private companion object {
        const val SAMPLES: Int = 64
        const val MIN_SAMPLES: Int = 16

        /** Bounds the memory while routes come and go. */
        const val MAX_ROUTES: Int = 512
        const val LOAD_FACTOR: Float = 0.75f
    }
}
