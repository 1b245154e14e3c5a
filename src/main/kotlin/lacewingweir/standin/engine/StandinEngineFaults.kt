package lacewingweir.standin.engine

import kotlinx.serialization.Serializable

/**
 * Fault switches of a [StandinEngine]; the default is no fault.
 *
 * The faults of answers are [delayMillis] before the request is queued, [hang] (accepted and never answered),
 * [dropAfterChunks] (connection closed after that many chunks), [wrongRequestId] (the answer carries another request's
 * id), [wrongIndexAt] (the chunk at this index carries the next index), and [cutBeforeEnd] (the body ends as if whole,
 * without its last chunks). They apply to the next [times] requests, or to all if it is null.
 *
 * [reset] happens once, when the faults are set: all requests are cut, the cache is empty, the incarnation is new, and
 * the engine serves the models that it was started with. [leaving] marks the engine as leaving.
 */
@Serializable
public data class StandinEngineFaults(
    val delayMillis: Long = 0,
    val hang: Boolean = false,
    val dropAfterChunks: Int? = null,
    val wrongRequestId: Boolean = false,
    val wrongIndexAt: Int? = null,
    val cutBeforeEnd: Boolean = false,
    val times: Int? = null,
    val reset: Boolean = false,
    val leaving: Boolean = false,
)
