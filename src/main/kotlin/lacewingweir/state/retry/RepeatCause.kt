package lacewingweir.state.retry

/** Why a call is sent to a second endpoint. */
internal enum class RepeatCause {
    /** The endpoint said that it did not run the call. */
    REFUSED,

    /** The endpoint ran the call and answered with an error. */
    ERROR,

    /** No usable response was received. */
    BROKEN,

    /** The call was withdrawn before the engine began it on outdated weights. */
    WITHDRAWN,

    /** The run goes on at another engine. */
    HANDOVER,
}
