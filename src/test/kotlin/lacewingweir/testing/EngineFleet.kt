/** Snapshots of a fleet with the engines of one service, for tests of placement and handovers. */
package lacewingweir.testing

import lacewingweir.coordination.fleet.FleetSnapshot
import lacewingweir.coordination.fleet.WeightsTarget
import lacewingweir.state.fleet.CallerLimits
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.fleet.EngineSpec
import lacewingweir.state.fleet.FleetConfig
import lacewingweir.state.fleet.ServiceSpec
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.SoftwareVersion
import lacewingweir.state.id.WeightsNumber

internal val FLEET_MODEL = ModelName("m")
internal val FLEET_SERVICE = ServiceName("s")
internal val FLEET_DOMAIN = FailureDomain("d")

/**
 * Returns a snapshot of a fleet with the engines [ids], all started at [startedAt] and running [weights].
 *
 * [target] is the current target of their weights, or null if there is none.
 */
internal fun engineFleet(
    vararg ids: String,
    startedAt: Long = 1,
    weights: Long = 1,
    target: WeightsTarget? = null,
    supportsHandover: Boolean = false,
): FleetSnapshot {
    val engineSpec =
        EngineSpec(48, 100_000, transferMillisPerToken = 0.005, supportsHandover, models = listOf(FLEET_MODEL))
    val service = ServiceSpec(FLEET_SERVICE, 100, engineSpec)
    val endpointEntries =
        ids.map {
            EndpointEntry(
                EndpointId(it),
                FLEET_SERVICE,
                "h",
                1,
                FLEET_DOMAIN,
                48,
                false,
                startedAt,
                mapOf(FLEET_MODEL to WeightsNumber(weights)),
                software = SoftwareVersion("v1"),
            )
        }
    val config = FleetConfig(1, emptyList(), listOf(service), emptyList(), CallerLimits())
    val weightsTargets = if (target == null) emptyMap() else mapOf(FLEET_MODEL to target)
    return FleetSnapshot(config, weightsTargets, endpointEntries.associateBy { it.id }, emptyMap(), false, emptySet())
}
