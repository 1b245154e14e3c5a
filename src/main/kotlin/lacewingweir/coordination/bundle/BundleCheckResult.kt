package lacewingweir.coordination.bundle

import lacewingweir.state.bundle.Bundle

/** The result of parsing and validating the payload of a signed bundle. */
public sealed interface BundleCheckResult {
    /** The payload is a valid bundle. */
    public data class Accepted(
        val bundle: Bundle,
    ) : BundleCheckResult

    /** The payload is invalid for the given [reasons]. */
    public data class Refused(
        val reasons: List<String>,
    ) : BundleCheckResult
}
