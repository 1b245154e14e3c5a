package lacewingweir.state.bundle

import kotlinx.serialization.Serializable

/** Limits of a rollout of model weights: at most [maxConcurrentLoads] engines load at the same time. */
@Serializable
public data class RolloutLimits(
    val maxConcurrentLoads: Int = 2,
)
