package lacewingweir.coordination.rollout

import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.WeightsVersion

/** Reads the status of engines and sends commands to them. */
public interface EngineControl {
    /** Returns the status of [endpoint], or null if it can't be read. */
    public suspend fun status(endpoint: Endpoint): EngineStatus?

    /**
     * Commands [endpoint] to load [weights] of [model]. [fencingToken] is the fencing token of the current leadership.
     */
    public suspend fun load(
        endpoint: Endpoint,
        model: ModelName,
        weights: WeightsVersion,
        fencingToken: Long,
    ): CommandResult
}
