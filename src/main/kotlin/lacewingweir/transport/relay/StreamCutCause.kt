package lacewingweir.transport.relay

/** Why a stream that has begun ends without its last event, as far as this instance can tell. */
internal enum class StreamCutCause {
    /** The instance stops. */
    INSTANCE_STOP,

    /** The time limit of the call has passed. */
    TIME_LIMIT,

    /** A handover stopped the run, and no engine has taken it. */
    HANDOVER,

    /** The stream broke off at its endpoint, and it can't go on elsewhere. */
    ENDPOINT,
}
