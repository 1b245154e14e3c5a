package lacewingweir.transport.operator

import io.prometheus.metrics.model.registry.PrometheusRegistry
import lacewingweir.coordination.keys.WithdrawalResult
import lacewingweir.protocol.operator.FleetReport
import lacewingweir.state.id.KeyDigest

/**
 * Data and actions of an instance that [OperatorServer] offers.
 *
 * [unreadyReasons] returns an empty list if the instance is ready. [explain] returns the trace of a request as JSON, or
 * null if the instance does not have it. [withdraw] withdraws the key with the given digest and waits for the
 * confirmations of the peers.
 */
public class OperatorSources(
    public val unreadyReasons: () -> List<String>,
    public val fleet: () -> FleetReport,
    public val explain: (requestId: String) -> String?,
    public val withdraw: suspend (digest: KeyDigest) -> WithdrawalResult,
    public val registry: PrometheusRegistry = PrometheusRegistry.defaultRegistry,
)
