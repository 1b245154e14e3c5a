package lacewingweir.coordination.bundle

import lacewingweir.state.bundle.Bundle

/** Outcome of reading the payload of a signed bundle. */
public sealed interface BundleCheckResult {
    /** The payload is a bundle without mistakes. */
    public data class Accepted(
        val bundle: Bundle,
    ) : BundleCheckResult

    /** The payload has mistakes. */
    public data class Refused(
        val reasons: List<String>,
    ) : BundleCheckResult
}
