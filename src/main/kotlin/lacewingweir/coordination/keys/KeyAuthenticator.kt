package lacewingweir.coordination.keys

import lacewingweir.coordination.time.Subscription
import lacewingweir.state.id.KeyDigest

/** Decides about callers' keys and tells when one is withdrawn. */
public interface KeyAuthenticator {
    /** Decides on the key with this digest, from records held in memory. */
    public fun authenticate(digest: KeyDigest): KeyDecision

    /**
     * Calls [action] once if the key is withdrawn, or the instance can no longer prove that it isn't, before the
     * subscription is cancelled. Calls it at once if that has already happened.
     */
    public fun onWithdrawal(
        digest: KeyDigest,
        action: () -> Unit,
    ): Subscription
}
