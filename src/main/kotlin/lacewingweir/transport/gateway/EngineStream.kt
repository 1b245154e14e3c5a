package lacewingweir.transport.gateway

import lacewingweir.protocol.engine.EngineEvent

/** The checked stream of one attempt. It is read step by step, so that a slow caller slows the engine down. */
public interface EngineStream {
    /** Waits at most [timeoutMillis] for the next step. A broken or silent stream is a violation. */
    public suspend fun next(timeoutMillis: Long): EngineEvent

    /** Reads the end of the body after the last step, so that the connection can be used again. */
    public suspend fun drain()

    /** Gives up the rest and closes the connection unless the body was read to its end. */
    public fun close()
}
