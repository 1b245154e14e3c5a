package lacewingweir.transport.gateway

import lacewingweir.coordination.rollout.EngineControl
import lacewingweir.protocol.engine.EngineRequest
import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.id.RequestId

/** Sends requests and commands to engines. */
public interface EngineAdapter : EngineControl {
    /** Sends one attempt and checks the response headers. Cancelling the coroutine closes the connection. */
    public suspend fun open(
        endpoint: Endpoint,
        request: EngineRequest,
    ): EngineResponse

    /**
     * Tells the engine to cancel a request.
     *
     * Failures are ignored, because the engine also stops when the connection of the request is closed.
     */
    public suspend fun cancel(
        endpoint: Endpoint,
        requestId: RequestId,
    )
}
