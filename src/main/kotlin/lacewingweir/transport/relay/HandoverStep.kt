package lacewingweir.transport.relay

/** What has become of a handover, counted once for each step that it has reached. */
internal enum class HandoverStep {
    BEGUN,

    /** The run stays at its engine. */
    STAYED,

    /** The run was stopped at its engine. */
    STOPPED,

    /** The other engine continued the run. */
    TAKEN,

    /** The engine that stopped the run continued it. */
    RETURNED,

    /** No engine has taken the run, which ends its stream unless it may be resumed. */
    LOST,

    /** The engine that was to continue the run broke off before its first event. */
    BROKEN,

    /** The call ended, for want of time or with its instance, before the run went on. */
    EXPIRED,
}
