/** JSON messages of the operator port. */
package lacewingweir.protocol.operator

import kotlinx.serialization.Serializable

/**
 * Response to `GET /fleet`: an instance's view of the fleet. [degraded] names the states in which the instance deviates
 * from normal operation.
 */
@Serializable
public data class FleetReport(
    val instance: InstanceReport,
    val peers: List<PeerReport>,
    val refusedBundles: List<RefusedBundleReport> = emptyList(),
    val degraded: List<String> = emptyList(),
)
