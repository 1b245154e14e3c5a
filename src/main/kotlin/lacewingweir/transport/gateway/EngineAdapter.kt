package lacewingweir.transport.gateway

import lacewingweir.coordination.rollout.EngineControl
import lacewingweir.protocol.engine.EngineRequest
import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.id.RequestId

/** All that the router does with an engine. */
public interface EngineAdapter : EngineControl {
    /** Sends one attempt and checks the head of the answer. Cancelling the caller closes the connection. */
    public suspend fun open(
        endpoint: Endpoint,
        request: EngineRequest,
    ): EngineAnswer

    /** Asks the engine to stop working on a request. Failures are ignored, as the closed connection also stops it. */
    public suspend fun cancel(
        endpoint: Endpoint,
        requestId: RequestId,
    )
}
