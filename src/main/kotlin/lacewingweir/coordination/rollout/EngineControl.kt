package lacewingweir.coordination.rollout

import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.WeightsVersion

/** Commands to engines and their status reports. */
public interface EngineControl {
    /** Asks the engine for its status; null if it can't be reached. */
    public suspend fun status(endpoint: Endpoint): EngineStatus?

    /** Orders the engine to load [weights] of [model]. [fencingToken] is the number of the present leadership. */
    public suspend fun load(
        endpoint: Endpoint,
        model: ModelName,
        weights: WeightsVersion,
        fencingToken: Long,
    ): CommandResult
}
