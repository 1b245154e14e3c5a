/** A call and a copier for tests of the relay. */
package lacewingweir.transport.relay

import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.fleet.Prompt
import lacewingweir.state.id.RequestId
import lacewingweir.testing.FLEET_MODEL

/** A call to an engine whose answer is long enough for a handover. */
internal fun streamCall() =
    InboundCall(
        id = RequestId("r"),
        method = "POST",
        host = "h",
        target = "/",
        path = "/",
        headers = emptyList(),
        body = ByteArray(0),
        keyDigest = null,
        callerTimeoutMillis = null,
        prompt = Prompt(FLEET_MODEL, 100, 400, emptyList()),
        resumeAfter = null,
        arrivedAtMillis = 0,
    )

/** Responds that every run has ended. */
internal object EndedRunCopier : KvCacheCopier {
    override suspend fun copy(
        run: RequestId,
        source: EndpointEntry,
        target: EndpointEntry,
        stop: Boolean,
    ) = CopyResult.RunNotFound

    override suspend fun release(copy: KvCacheCopy) = Unit
}
