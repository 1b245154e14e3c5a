package lacewingweir.transport.gateway

/**
 * Follows one request's [RunState] over its attempts.
 *
 * [sending] assumes the worst before the first byte may leave, so that a request that is cancelled in the middle of an
 * attempt is never called "not run".
 */
internal class RunTracker {
    private var before = RunState.NOT_RUN
    private var announced = false

    @Volatile
    var state: RunState = RunState.NOT_RUN
        private set

    /** Makes the next [sending] take effect now, before a check whether the request may still be sent. */
    fun announce() {
        sending()
        announced = true
    }

    fun sending() {
        if (announced) {
            announced = false
            return
        }
        before = state
        raise(RunState.UNKNOWN)
    }

    /** The attempt that [sending] or [announce] began certainly ran nothing. */
    fun notRun() {
        announced = false
        state = before
    }

    fun ran() {
        raise(RunState.RUN)
    }

    private fun raise(to: RunState) {
        if (to > state) state = to
    }
}
