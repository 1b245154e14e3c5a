package lacewingweir.state.bundle

import kotlinx.serialization.Serializable

/** Limits for the rollout of model weights: at most [maxConcurrentLoads] engines load weights at the same time. */
@Serializable
public data class RolloutLimits(
    val maxConcurrentLoads: Int = 2,
)
