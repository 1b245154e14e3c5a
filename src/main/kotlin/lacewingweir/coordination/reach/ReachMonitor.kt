/**
 * Finds out whether this instance is cut off from all endpoints of a service.
 *
 * Callers, the store and other instances may still reach an instance that reaches no endpoint. Its calls can be served
 * only by another instance then, so the instance has to learn of this before many calls have waited in vain. It tries
 * to connect to endpoints as soon as a connection fails or a service is silent, since a silent endpoint may be sound.
 */
package lacewingweir.coordination.reach

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import lacewingweir.coordination.time.Subscription
import lacewingweir.coordination.time.TimerService
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.id.ServiceName
import lacewingweir.state.reach.ServiceReach
import lacewingweir.state.time.MonotonicClock

private val logger = KotlinLogging.logger {}

/**
 * Watches connections to endpoints and tries new ones.
 *
 * [usable] returns the endpoints of a service that accept requests, and [services] all services that have endpoints.
 * [canConnect] tries to establish a connection and closes it again. Thread-safe.
 */
internal class ReachMonitor(
    private val clock: MonotonicClock,
    private val timers: TimerService,
    private val scope: CoroutineScope,
    private val services: () -> Set<ServiceName>,
    private val usable: (ServiceName) -> List<EndpointEntry>,
    private val canConnect: suspend (EndpointEntry) -> Boolean,
) {
    private class State {
        val reach = ServiceReach()

        /** Number of sends that wait for a response. */
        var waiting = 0

        /** When something was received from an endpoint, or the first of the [waiting] sends began. */
        var progressAtMillis = 0L
        var probesRunning = 0
        var probedAtMillis = Long.MIN_VALUE / 2

        /** Completed as soon as one of the running probes has connected or all have ended. */
        var probed = CompletableDeferred(Unit)
        val listeners = ArrayList<() -> Unit>()
    }

    private val states = HashMap<ServiceName, State>()

    /** The services from which this instance is cut off. */
    val cutOffServices: Set<ServiceName>
        @Synchronized get() = states.filterValues { it.reach.isCutOff }.keys.toSet()

    fun start() {
        timers.every("reach of services", CHECK_PERIOD_MILLIS) { servicesToProbe().forEach(::probe) }
    }

    @Synchronized
    fun isCutOff(service: ServiceName): Boolean = states[service]?.reach?.isCutOff == true

    /** Records that a send to an endpoint of [service] begins to wait for a response. */
    @Synchronized
    fun onSend(service: ServiceName) {
        val state = stateOf(service)
        if (state.waiting++ == 0) state.progressAtMillis = clock.nowMillis()
    }

    /** Records that a send that waited has ended. */
    @Synchronized
    fun onSendEnd(service: ServiceName) {
        stateOf(service).waiting--
    }

    /** Records that bytes of a response were received. */
    @Synchronized
    fun onReceived(service: ServiceName) {
        stateOf(service).progressAtMillis = clock.nowMillis()
    }

    /** Records that a new connection to [endpoint] was established. */
    @Synchronized
    fun onConnected(endpoint: EndpointEntry) {
        val reach = stateOf(endpoint.service).reach
        if (reach.isCutOff) logger.info { "reach: service=${endpoint.service} reached again at=${endpoint.id}" }
        reach.onConnected()
        stateOf(endpoint.service).probed.complete(Unit)
    }

    /** Waits until the running attempts to connect to endpoints of [service] show whether it can be reached. */
    suspend fun awaitProbes(service: ServiceName) = runningProbes(service).await()

    @Synchronized
    private fun runningProbes(service: ServiceName) = stateOf(service).probed

    /** Records that no connection to [endpoint] could be established, and tries others of its service. */
    fun onUnreachable(endpoint: EndpointEntry) {
        applyUnreachable(endpoint)
        probe(endpoint.service)
    }

    private fun applyUnreachable(endpoint: EndpointEntry) {
        val listeners = recordUnreachable(endpoint) ?: return
        listeners.forEach { it() }
        // What separates this instance from one service often separates it from all.
        services().filter { it != endpoint.service }.forEach(::probe)
    }

    /** Returns what to call because the instance has just been cut off, or null if it hasn't. */
    @Synchronized
    private fun recordUnreachable(endpoint: EndpointEntry): List<() -> Unit>? {
        val state = stateOf(endpoint.service)
        val before = state.reach.isCutOff
        val tags = usable(endpoint.service).mapTo(HashSet()) { it.tag }
        state.reach.onUnreachable(endpoint.tag, tags, clock.nowMillis())
        if (before || !state.reach.isCutOff) return null
        logger.warn { "reach: service=${endpoint.service} cut off endpoints=${tags.size} waiting=${state.waiting}" }
        return state.listeners.toList()
    }

    /** Calls [listener] when this instance is cut off from [service], until the subscription is cancelled. */
    @Synchronized
    fun observeCutOff(
        service: ServiceName,
        listener: () -> Unit,
    ): Subscription {
        val listeners = stateOf(service).listeners
        listeners += listener
        return Subscription { synchronized(this) { listeners -= listener } }
    }

    private fun stateOf(service: ServiceName) = states.getOrPut(service) { State() }

    @Synchronized
    private fun servicesToProbe(): List<ServiceName> {
        val now = clock.nowMillis()
        return states
            .filterValues { it.reach.isCutOff || (it.waiting > 0 && now - it.progressAtMillis > SILENCE_MILLIS) }
            .keys
            .toList()
    }

    private fun probe(service: ServiceName) {
        for (endpoint in takeProbes(service)) {
            scope.launch {
                try {
                    if (canConnect(endpoint)) onConnected(endpoint) else applyUnreachable(endpoint)
                } finally {
                    endProbe(service)
                }
            }
        }
    }

    /** Returns the endpoints to try now. */
    @Synchronized
    private fun takeProbes(service: ServiceName): List<EndpointEntry> {
        val state = stateOf(service)
        val now = clock.nowMillis()
        if (state.probesRunning > 0 || now - state.probedAtMillis < PROBE_PERIOD_MILLIS) return emptyList()
        val endpoints = usable(service)
        val untested = state.reach.untested(endpoints.mapTo(HashSet()) { it.tag }, now)
        val count = if (state.reach.isCutOff) PROBES_WHILE_CUT_OFF else ServiceReach.EVIDENCE_ENDPOINTS
        val chosen =
            endpoints
                .shuffled()
                .sortedBy { it.tag !in untested }
                .take(count)
        state.probedAtMillis = now
        state.probesRunning = chosen.size
        if (chosen.isNotEmpty()) state.probed = CompletableDeferred()
        return chosen
    }

    @Synchronized
    private fun endProbe(service: ServiceName) {
        val state = stateOf(service)
        if (--state.probesRunning == 0) state.probed.complete(Unit)
    }

    private companion object {
        const val CHECK_PERIOD_MILLIS: Long = 250
        const val PROBE_PERIOD_MILLIS: Long = 450

        /** Time without a byte from any endpoint of a service after which connections to it are tried. */
        const val SILENCE_MILLIS: Long = 700
        const val PROBES_WHILE_CUT_OFF: Int = 2
    }
}
