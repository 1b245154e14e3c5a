package lacewingweir.coordination.bundle

import lacewingweir.state.bundle.Bundle

/** Outcome of reading the payload of a signed bundle. */
public sealed interface BundleCheck {
    /** The payload is a bundle without mistakes. */
    public data class Accepted(
        val bundle: Bundle,
    ) : BundleCheck

    /** The payload has mistakes. */
    public data class Refused(
        val reasons: List<String>,
    ) : BundleCheck
}
