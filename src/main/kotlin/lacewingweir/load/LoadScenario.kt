package lacewingweir.load

import kotlinx.serialization.Serializable

/**
 * The requests of a load run and the instances that receive them.
 *
 * Arrivals are a Poisson process and don't wait for answers (open loop), so that the latencies include stalls.
 *
 * @property seed the seed of all random decisions.
 * @property warmupSeconds the time at the start of the run whose requests are not counted.
 * @property targets the instances as `host:port`.
 * @property targetWeights the relative share of the requests that each target receives, to simulate an uneven load
 *   balancer. Equal shares if empty.
 * @property events the faults to inject during the run.
 */
@Serializable
public data class LoadScenario(
    val name: String,
    val seed: Long = 1,
    val durationSeconds: Double = 20.0,
    val warmupSeconds: Double = 3.0,
    val targets: List<String>,
    val targetWeights: List<Double> = emptyList(),
    val customers: List<CustomerLoad>,
    val events: List<FaultInjection> = emptyList(),
)
