package lacewingweir.transport.gateway

/**
 * Tracks the [RunState] of one request across its attempts.
 *
 * [markSending] sets the state to [RunState.UNKNOWN] before the first byte can be sent, so that a request that is
 * cancelled during an attempt is never reported as [RunState.NOT_RUN].
 */
internal class RunStateTracker {
    private var stateBeforeAttempt = RunState.NOT_RUN
    private var markedEarly = false

    @Volatile
    var state: RunState = RunState.NOT_RUN
        private set

    /**
     * Marks the next attempt as started before it is sent. The following [markSending] has no effect.
     *
     * Called before the check for whether the request may still be sent.
     */
    fun markSendingEarly() {
        markSending()
        markedEarly = true
    }

    /** Marks the start of an attempt, which may execute the request from now on. */
    fun markSending() {
        if (markedEarly) {
            markedEarly = false
            return
        }
        stateBeforeAttempt = state
        raiseTo(RunState.UNKNOWN)
    }

    /**
     * Restores the state from before the attempt that [markSending] or [markSendingEarly] started.
     *
     * Must only be called if the endpoint is known not to have executed the request.
     */
    fun markNotRun() {
        markedEarly = false
        state = stateBeforeAttempt
    }

    /** Records that an endpoint executed the request at least in part. */
    fun markRun() {
        raiseTo(RunState.RUN)
    }

    private fun raiseTo(newState: RunState) {
        if (newState > state) state = newState
    }
}
