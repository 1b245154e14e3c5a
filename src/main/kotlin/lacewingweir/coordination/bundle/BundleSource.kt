package lacewingweir.coordination.bundle

import lacewingweir.state.bundle.Bundle

/** Provides the bundle in force. */
public fun interface BundleSource {
    /** Returns the bundle in force, or null if the instance has none yet. Reads a single reference and never blocks. */
    public fun current(): Bundle?
}
