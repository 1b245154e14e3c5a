package lacewingweir.state.crash

import lacewingweir.state.id.PartId
import lacewingweir.state.id.RequestFingerprint
import lacewingweir.state.id.SuspectId

/** What one call can be blamed for if its endpoint crashes: the shared parts of its prompt, and the request itself. */
internal class CallSuspects(
    sharedParts: List<PartId>,
    fingerprint: RequestFingerprint,
) {
    val parts: List<SuspectId> = sharedParts.map { SuspectId.of(it) }
    val request: SuspectId = SuspectId.of(fingerprint)
    val all: List<SuspectId> = parts + request
}
