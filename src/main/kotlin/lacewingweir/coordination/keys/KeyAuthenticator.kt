package lacewingweir.coordination.keys

import lacewingweir.coordination.time.Subscription
import lacewingweir.state.id.KeyDigest

/** Authenticates caller keys and notifies subscribers when a key is withdrawn. */
public interface KeyAuthenticator {
    /** Returns the decision on the key with this [digest], based on records held in memory. */
    public fun authenticate(digest: KeyDigest): KeyDecision

    /**
     * Registers [action] to run when the key with this [digest] stops being accepted.
     *
     * The action runs at most once: when the key is rejected, or when the instance can no longer prove that its key
     * records are fresh. It runs immediately if this is already the case. Cancelling the subscription removes the
     * action.
     */
    public fun onWithdrawal(
        digest: KeyDigest,
        action: () -> Unit,
    ): Subscription
}
