package lacewingweir.coordination.routing

/** The outcome of an attempt on an engine, as it counts for the health of the engine. */
public enum class AttemptOutcome {
    /** The complete response arrived. */
    COMPLETED,

    /** The caller disconnected or its key was withdrawn. The outcome doesn't affect the engine's health. */
    CANCELLED,

    /** The connection could not be made, or the engine refused the request without running it. */
    NOT_RUN,

    /** The connection broke, the engine timed out, or its response was invalid. */
    FAILED,

    /** The engine serves other weights than the bundle requires, or is still loading them. It counts as healthy. */
    NOT_SERVING,
}
