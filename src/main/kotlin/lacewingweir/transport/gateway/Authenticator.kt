package lacewingweir.transport.gateway

import lacewingweir.coordination.keys.KeyAuthenticator
import lacewingweir.coordination.keys.KeyDecision
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.Customer
import lacewingweir.state.id.KeyDigest

/** Turns the key that a caller showed into its customer or a refusal. */
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
        found: CallerKey.Found,
        bundle: Bundle,
    ): Result =
        when (found) {
            CallerKey.Found.None ->
                Result.Refused(Refusal.unauthenticated("missing_key", "No key was shown."))
            is CallerKey.Found.Ambiguous ->
                Result.Refused(Refusal.unauthenticated("ambiguous_key", "Several different keys were shown."))
            is CallerKey.Found.One -> decide(found.key.digest, bundle)
        }

    private fun decide(
        digest: KeyDigest,
        bundle: Bundle,
    ): Result =
        when (val decision = keys.authenticate(digest)) {
            KeyDecision.Rejected ->
                Result.Refused(Refusal.unauthenticated("invalid_key", "The key is unknown or withdrawn."))
            is KeyDecision.Stale -> Result.Refused(stale(decision))
            is KeyDecision.Accepted -> {
                val customer = bundle.customer(decision.customer)
                if (customer == null) {
                    Result.Refused(Refusal.forbidden("The key's customer has no access here."))
                } else {
                    Result.Accepted(customer, digest)
                }
            }
        }

    /** The refusal of a running request whose key stopped being honoured. */
    fun withdrawn(digest: KeyDigest): Refusal =
        when (val decision = keys.authenticate(digest)) {
            is KeyDecision.Stale -> stale(decision)
            else -> Refusal.unauthenticated("key_withdrawn", "The key was withdrawn while the request ran.")
        }

    /** Stops [context]'s work when the key is withdrawn. Runs [work] meanwhile. */
    suspend fun guarded(
        context: RequestContext,
        digest: KeyDigest?,
        work: suspend () -> Unit,
    ): StopReason? {
        val subscription = digest?.let { keys.onWithdrawal(it) { context.stop.stop(StopReason.WITHDRAWN) } }
        try {
            return context.stop.stopped(work)
        } finally {
            subscription?.cancel()
        }
    }

    private fun stale(decision: KeyDecision.Stale): Refusal =
        Refusal.unavailable(
            "keys_not_fresh",
            "This instance can't prove that its key records are fresh.",
            decision.retryAfterMillis,
        )
}
