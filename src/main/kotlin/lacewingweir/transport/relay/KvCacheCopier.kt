/**
 * Copies of the KV caches of runs, with which other engines can continue them.
 *
 * A run is the execution of one request by an engine.
 */
package lacewingweir.transport.relay

import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.id.RequestId

/** A copy of the KV cache of a run. [handle] identifies it at [source], the engine that created it. */
internal data class KvCacheCopy(
    val source: EndpointEntry,
    val handle: String,
) {
    override fun toString(): String = "$handle of ${source.id}"
}

/** Result of copying the KV cache of a run. */
internal sealed interface CopyResult {
    data class Copied(
        val copy: KvCacheCopy,
    ) : CopyResult

    /** The source does not have the run, or has it no longer. */
    data object RunNotFound : CopyResult

    /** Nothing was copied. [remainingCopy] is the KV cache that the source still holds if it has stopped the run. */
    data class Refused(
        val reason: String,
        val remainingCopy: KvCacheCopy?,
    ) : CopyResult

    /** Whether the KV cache was copied is unknown. */
    data class Unknown(
        val reason: String,
    ) : CopyResult
}

/** Copies the KV caches of runs between engines. */
internal interface KvCacheCopier {
    /**
     * Copies the part of the run's KV cache that [target] lacks.
     *
     * If [stop] is set, the source first stops the run, and ends its stream before the answer is complete. Otherwise
     * the run continues during the copy.
     */
    suspend fun copy(
        run: RequestId,
        source: EndpointEntry,
        target: EndpointEntry,
        stop: Boolean,
    ): CopyResult

    /** Frees a copy that will not be used. */
    suspend fun release(copy: KvCacheCopy)
}
