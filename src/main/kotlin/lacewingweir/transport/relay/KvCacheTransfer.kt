/** Transfer of the KV cache of a running answer from one engine to another. */
package lacewingweir.transport.relay

import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.id.RequestId

/** A copy of the KV cache of a run. [handle] identifies it at the engine [source], from which it was taken. */
internal data class KvCacheCopy(
    val source: EndpointEntry,
    val handle: String,
) {
    override fun toString(): String = "$handle of ${source.id}"
}

/** Result of copying the KV cache of a run. */
internal sealed interface TransferResult {
    data class Copied(
        val copy: KvCacheCopy,
    ) : TransferResult

    /** The source does not have the run, or has it no longer. */
    data object NoRun : TransferResult

    /** Nothing was copied. [remainingCopy] is the KV cache that the source still holds if it has stopped the run. */
    data class Refused(
        val reason: String,
        val remainingCopy: KvCacheCopy?,
    ) : TransferResult

    /** Whether the KV cache was copied is unknown. */
    data class Unknown(
        val reason: String,
    ) : TransferResult
}

/** Copies the KV caches of running answers between engines. */
internal interface KvCacheTransfer {
    /**
     * Copies the part of the run's KV cache that [target] lacks.
     *
     * If [stop] is set, the source first stops the run, and closes its stream before the answer is complete. Otherwise
     * the run continues during the copy.
     */
    suspend fun copy(
        run: RequestId,
        source: EndpointEntry,
        target: EndpointEntry,
        stop: Boolean,
    ): TransferResult

    /** Frees a copy that will not be used. */
    suspend fun release(copy: KvCacheCopy)
}
