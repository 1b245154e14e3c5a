package lacewingweir.coordination.crash

import lacewingweir.state.crash.CallSuspects

/** How a call was broken off: how far its endpoint had come, and whether the call was a trial of its request. */
internal data class BrokenCall(
    val suspects: CallSuspects,
    val progress: BrokenCallProgress,
    val onTrial: Boolean = false,
)

internal enum class BrokenCallProgress {
    /** The call had no response from an engine, which may have been running others. */
    MAY_HAVE_WAITED,

    /** The call was at an endpoint of a plain service, which runs most of the calls that it has. */
    MAY_HAVE_RUN,

    /** An engine was beginning to answer the call. */
    ANSWER_BEGUN,
}
