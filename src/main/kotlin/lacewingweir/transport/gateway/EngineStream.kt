package lacewingweir.transport.gateway

import lacewingweir.protocol.engine.EngineEvent

/**
 * The validated event stream of one attempt.
 *
 * Events are read one at a time, so that a slow caller applies backpressure to the engine.
 */
public interface EngineStream {
    /**
     * Returns the next event.
     *
     * Returns a violation if the stream is broken or invalid, or if nothing arrives within [timeoutMillis].
     */
    public suspend fun next(timeoutMillis: Long): EngineEvent

    /** Reads the end of the body after the last event, so that the connection can be reused. */
    public suspend fun drain()

    /** Discards the rest of the stream and closes the connection unless the body was read completely. */
    public fun close()
}
