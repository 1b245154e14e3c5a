package lacewingweir.coordination.routing

/** How an attempt on an engine ended, as far as the engine's health is concerned. */
public enum class AttemptOutcome {
    /** The whole answer arrived. */
    COMPLETED,

    /** The caller left or its key was withdrawn; says nothing about the engine. */
    CANCELLED,

    /** No connection, or the engine refused without running the request. */
    NOT_RUN,

    /** The connection broke, the engine was silent too long or sent a wrong answer. */
    FAILED,

    /** The engine serves other weights than the bundle asks for, or is still loading them. It is healthy. */
    NOT_SERVING,
}
