/** Moving the memory of a running answer from one engine to another, apart from all decisions. */
package lacewingweir.transport.relay

import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.id.RequestId

/** A copy of a run's memory, by its name at the engine that it was taken from. */
internal data class KvCacheCopy(
    val source: EndpointEntry,
    val handle: String,
) {
    override fun toString(): String = "$handle of ${source.id}"
}

internal sealed interface TransferResult {
    data class Copied(
        val copy: KvCacheCopy,
    ) : TransferResult

    /** The source has no such run, or no longer. */
    data object NoRun : TransferResult

    /** Nothing was copied. [remainingCopy] is what the source holds of a run that it has stopped. */
    data class Refused(
        val reason: String,
        val remainingCopy: KvCacheCopy?,
    ) : TransferResult

    /** The transfer may have happened. */
    data class Unknown(
        val reason: String,
    ) : TransferResult
}

internal interface KvCacheTransfer {
    /**
     * Copies what [target] lacks of the run's memory. With [stop] the run ends first, and its stream is closed before
     * its end; without, it continues meanwhile.
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
