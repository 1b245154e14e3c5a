/**
 * Learns the speeds of endpoints from this instance's own requests and from the samples of its peers.
 *
 * In a large fleet an instance sends a request to a given engine only every few seconds, so instances share their
 * samples. Not thread-safe; [EndpointTracker] synchronizes.
 */
package lacewingweir.coordination.placement

import lacewingweir.coordination.fleet.FleetSnapshot
import lacewingweir.coordination.gossip.SpeedSample
import lacewingweir.state.id.EndpointTag
import lacewingweir.state.id.ServiceName
import lacewingweir.state.placement.EndpointSpeeds
import lacewingweir.state.placement.SpeedFigures
import lacewingweir.state.time.MonotonicClock

internal class LearnedSpeeds(
    private val clock: MonotonicClock,
) {
    private class Service(
        val hasEngines: Boolean,
    ) {
        val workPerUnit = if (hasEngines) TOKENS_PER_UNIT else CALLS_PER_UNIT
        val speeds = EndpointSpeeds(if (hasEngines) TYPICAL_TOKENS else 1.0, serial = hasEngines)
    }

    private class OwnSample(
        val endpoint: EndpointTag,
        val units: Long,
        val millis: Long,
        val endMillis: Long,
    )

    private val services = HashMap<ServiceName, Service>()
    private var serviceByTag: Map<EndpointTag, Service> = emptyMap()
    private val ownSamples = ArrayDeque<OwnSample>()

    /** Discards the samples of endpoints that have ended or restarted. */
    fun onFleet(snapshot: FleetSnapshot) {
        val byService = snapshot.endpoints.values.groupBy { it.service }
        services.keys.retainAll(byService.keys)
        val byTag = HashMap<EndpointTag, Service>()
        for ((name, endpoints) in byService) {
            val hasEngines = snapshot.engineSpec(name) != null
            val service =
                services[name]?.takeIf { it.hasEngines == hasEngines }
                    ?: Service(hasEngines).also { services[name] = it }
            service.speeds.retain(endpoints.mapTo(HashSet()) { it.tag })
            endpoints.associateTo(byTag) { it.tag to service }
        }
        serviceByTag = byTag
    }

    /** Records that an engine processed [tokens] in [millis] before the first event of a request. */
    fun onPrefilled(
        endpoint: EndpointTag,
        tokens: Double,
        millis: Double,
    ) {
        if (tokens >= MIN_TOKENS &&
            serviceByTag[endpoint]?.hasEngines == true
        ) {
            record(endpoint, tokens / TOKENS_PER_UNIT, millis)
        }
    }

    /** Records that a call took [millis] at an endpoint without engines, as one of [calls] that share a slot. */
    fun onCallEnded(
        endpoint: EndpointTag,
        calls: Double,
        millis: Double,
    ) {
        if (serviceByTag[endpoint]?.hasEngines == false) record(endpoint, calls / CALLS_PER_UNIT, millis)
    }

    private fun record(
        endpoint: EndpointTag,
        units: Double,
        millis: Double,
    ) {
        val sample = OwnSample(endpoint, units.toLong(), millis.toLong(), clock.nowMillis())
        packed(sample)?.let(::apply) ?: return
        if (ownSamples.size == MAX_SAMPLES) ownSamples.removeFirst()
        ownSamples.addLast(sample)
    }

    /** Applies samples of a peer. */
    fun onPeerSamples(samples: List<SpeedSample>) = samples.forEach { apply(it) }

    private fun apply(sample: SpeedSample) {
        val service = serviceByTag[sample.endpoint] ?: return
        val work = sample.workUnits * service.workPerUnit
        val now = clock.nowMillis()
        service.speeds.observe(sample.endpoint, work, sample.millis.toDouble(), now - sample.ageMillis, now)
    }

    private fun packed(sample: OwnSample) =
        SpeedSample.of(sample.endpoint, sample.units, sample.millis, clock.nowMillis() - sample.endMillis)

    /** Returns this instance's own samples since the last call. */
    fun takeSamples(): List<SpeedSample> = ownSamples.mapNotNull(::packed).also { ownSamples.clear() }

    /** Returns the speeds of a service's endpoints, or null if these count as equal. */
    fun unevenSpeeds(service: ServiceName): EndpointSpeeds? =
        services[service]?.speeds?.takeIf { it.isUneven(clock.nowMillis()) }

    fun figures(): Map<ServiceName, SpeedFigures> = services.mapValues { it.value.speeds.figures(clock.nowMillis()) }

    private companion object {
        const val TOKENS_PER_UNIT: Double = 64.0
        const val CALLS_PER_UNIT: Double = 1.0 / 64
        const val TYPICAL_TOKENS: Double = 4_000.0

        /** Fixed costs dominate the prefill of fewer tokens. */
        const val MIN_TOKENS: Double = 500.0

        /** Limits the size of a digest: 64 samples take up 576 bytes. */
        const val MAX_SAMPLES: Int = 64
    }
}
