package lacewingweir.transport.gateway

import lacewingweir.coordination.keys.KeyAuthenticator
import lacewingweir.coordination.keys.KeyDecision
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.Customer
import lacewingweir.state.id.KeyDigest

/** Resolves a request's API key to its customer or to a refusal. */
internal class Authenticator(
    private val keys: KeyAuthenticator,
) {
    internal sealed interface Result {
        class Accepted(
            val customer: Customer,
            val digest: KeyDigest,
        ) : Result

        class Refused(
            val refusal: Refusal,
        ) : Result
    }

    fun authenticate(
        extractedKeys: CallerKey.Extracted,
        bundle: Bundle,
    ): Result =
        when (extractedKeys) {
            CallerKey.Extracted.None ->
                Result.Refused(Refusal.unauthenticated("missing_key", "No key was shown."))
            is CallerKey.Extracted.Ambiguous ->
                Result.Refused(Refusal.unauthenticated("ambiguous_key", "Several different keys were shown."))
            is CallerKey.Extracted.Single -> resolve(extractedKeys.key.digest, bundle)
        }

    private fun resolve(
        digest: KeyDigest,
        bundle: Bundle,
    ): Result =
        when (val decision = keys.authenticate(digest)) {
            KeyDecision.Rejected ->
                Result.Refused(Refusal.unauthenticated("invalid_key", "The key is unknown or withdrawn."))
            is KeyDecision.Stale -> Result.Refused(staleKeysRefusal(decision))
            is KeyDecision.Accepted -> {
                val customer = bundle.customer(decision.customer)
                if (customer == null) {
                    Result.Refused(Refusal.forbidden("The key's customer has no access here."))
                } else {
                    Result.Accepted(customer, digest)
                }
            }
        }

    /** Returns the refusal for a running request whose API key was withdrawn or can no longer be verified. */
    fun withdrawalRefusal(digest: KeyDigest): Refusal =
        when (val decision = keys.authenticate(digest)) {
            is KeyDecision.Stale -> staleKeysRefusal(decision)
            else -> Refusal.unauthenticated("key_withdrawn", "The key was withdrawn while the request ran.")
        }

    /**
     * Runs [work] until it completes, the API key with this [digest] is withdrawn or the request is stopped.
     *
     * A null [digest] means that the request needs no key. Returns the stop reason, or null if [work] completed.
     */
    suspend fun runWhileAuthorized(
        context: RequestContext,
        digest: KeyDigest?,
        work: suspend () -> Unit,
    ): StopReason? {
        val subscription = digest?.let { keys.onWithdrawal(it) { context.stopSignal.stop(StopReason.KEY_WITHDRAWN) } }
        try {
            return context.stopSignal.runUntilStopped(work)
        } finally {
            subscription?.cancel()
        }
    }

    private fun staleKeysRefusal(decision: KeyDecision.Stale): Refusal =
        Refusal.unavailable(
            "keys_not_fresh",
            "This instance can't prove that its key records are fresh.",
            decision.retryAfterMillis,
        )
}
