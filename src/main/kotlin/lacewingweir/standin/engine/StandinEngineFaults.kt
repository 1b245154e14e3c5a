package lacewingweir.standin.engine

import kotlinx.serialization.Serializable

/**
 * Faults that a [StandinEngine] injects. The default is no fault.
 *
 * @property delayMillis the delay before the request is queued.
 * @property hang whether the request is accepted but never answered.
 * @property dropAfterChunks the number of chunks after which the connection is closed.
 * @property wrongRequestId whether the answer has another request id than the request.
 * @property wrongIndexAt the index of a chunk that is sent with the next index.
 * @property cutBeforeEnd whether the body ends normally but without its last token, usage and `[DONE]`.
 * @property times the number of requests to which the faults above apply, or null for all requests.
 * @property reset simulates a restart once, when the faults are set: all requests are aborted, the cache is cleared,
 *   the incarnation changes, and the engine serves its initial models.
 * @property leaving whether the engine announces that it is leaving, so that routers send it no new requests. Not
 *   limited by [times].
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
