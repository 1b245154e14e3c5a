package lacewingweir.load

import kotlinx.serialization.Serializable

/**
 * What a load run sends, and to which instances.
 *
 * Arrivals are Poisson and don't wait for answers (open loop), so that a stall shows in the figures. Everything random
 * derives from [seed]. [targets] are `host:port` of instances; each request goes to one of them, chosen by
 * [targetWeights] (equal if empty), as an uneven balancer would. Answers to requests sent in the first
 * [warmupSeconds] are not counted.
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
