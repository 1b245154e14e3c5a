package lacewingweir.transport.operator

import io.prometheus.metrics.model.registry.PrometheusRegistry
import lacewingweir.coordination.keys.WithdrawalResult
import lacewingweir.protocol.operator.FleetReport
import lacewingweir.state.id.KeyDigest

/**
 * What the operator port shows of an instance.
 *
 * [unreadyReasons] is empty if the instance is ready. [explain] gives the trace of a request as JSON, or null if the
 * instance does not have it. [withdraw] takes a key and waits for the peers' confirmations.
 */
public class OperatorSources(
    public val unreadyReasons: () -> List<String>,
    public val fleet: () -> FleetReport,
    public val explain: (requestId: String) -> String?,
    public val withdraw: suspend (digest: KeyDigest) -> WithdrawalResult,
    public val registry: PrometheusRegistry = PrometheusRegistry.defaultRegistry,
)
