package lacewingweir.coordination.bundle

import lacewingweir.state.bundle.Bundle

/** Gives the bundle in force. */
public fun interface BundleSource {
    /** The bundle in force, or null if the instance has none yet. Reads one reference and never blocks. */
    public fun current(): Bundle?
}
