package lacewingweir.transport.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import lacewingweir.coordination.claims.CallOutcome
import lacewingweir.coordination.claims.Claim
import lacewingweir.coordination.claims.ClaimRegister
import lacewingweir.coordination.claims.ClaimResult
import lacewingweir.state.bundle.ClaimOutagePolicy
import lacewingweir.transport.http.readAll
import java.util.Base64

private val logger = KotlinLogging.logger {}

/**
 * Runs unrepeatable calls that carry an idempotency key under a claim.
 *
 * A call that was sent goes on in [background] when its caller leaves, so that a repeat gets the outcome instead of
 * "unknown".
 */
internal class ClaimedCalls(
    private val claims: ClaimRegister,
    private val sender: ServiceSender,
    private val settings: GatewaySettings,
    private val background: CoroutineScope,
) {
    internal sealed interface Result {
        /** The answer of the service, now or from an earlier call with the same key. */
        class Answered(
            val outcome: CallOutcome,
        ) : Result

        class Refused(
            val refusal: Refusal,
        ) : Result

        /** The store can't record claims, and the route lets the call run without one. */
        data object RunWithoutClaim : Result
    }

    suspend fun run(
        call: ServiceCall,
        idempotencyKey: String,
    ): Result {
        val result = CompletableDeferred<Result>()
        background.launch {
            try {
                result.complete(claimAndSend(call, idempotencyKey))
            } catch (e: CancellationException) {
                result.cancel(e)
                throw e
            } catch (e: Exception) {
                logger.error(e) { "route: request ${call.context.requestId}: claimed call failed" }
                result.complete(Result.Refused(Refusal.unavailable("claim_failed", "The call failed in the router.")))
            }
        }
        return result.await()
    }

    private suspend fun claimAndSend(
        call: ServiceCall,
        idempotencyKey: String,
    ): Result {
        val acquired = claims.acquire(call.customer, call.route.id, idempotencyKey, call.digest())
        call.context.trace.step("claim", acquired::class.simpleName.orEmpty())
        return when (acquired) {
            is ClaimResult.Acquired -> send(call, acquired.claim)
            is ClaimResult.Existing -> existing(call, acquired.outcome)
            ClaimResult.Mismatch ->
                Result.Refused(
                    Refusal.badRequest(
                        "idempotency_key_reused",
                        "Idempotency-Key: it was used before with another request.",
                        "Idempotency-Key",
                    ),
                )
            is ClaimResult.Unavailable ->
                if (call.route.claimOutage == ClaimOutagePolicy.RUN_WITHOUT_CLAIM) {
                    Result.RunWithoutClaim
                } else {
                    Result.Refused(Refusal.unavailable("claim_unavailable", "The call can't be claimed now."))
                }
        }
    }

    private fun existing(
        call: ServiceCall,
        outcome: CallOutcome?,
    ): Result {
        if (outcome != null) {
            call.context.run.ran()
            return Result.Answered(outcome)
        }
        call.context.run.sending()
        return Result.Refused(
            Refusal.conflict("outcome_unknown", "The call was claimed before and its outcome isn't known."),
        )
    }

    private suspend fun send(
        call: ServiceCall,
        claim: Claim,
    ): Result {
        // Announced before the check, so that a stop in between finds "unknown" and not a false "not run".
        call.context.run.announce()
        if (call.context.stop.isStopped) {
            call.context.run.notRun()
            claim.release()
            return Result.Refused(Refusal.unavailable("stopped", "The request was stopped before it was sent."))
        }
        var outcome: CallOutcome? = null
        val sent =
            sender.send(call) { response ->
                val body = response.readAll(settings.maxAnswerBytes)
                val type = response.headers.get("Content-Type")
                outcome = body?.let { CallOutcome(response.status, type, Base64.getEncoder().encodeToString(it)) }
            }
        val answer = outcome
        store(call, claim, answer)
        return when {
            sent is ServiceSender.Result.Failed -> Result.Refused(sent.refusal)
            answer == null -> Result.Refused(Refusal.unavailable("answer_lost", "The service's answer was cut."))
            else -> Result.Answered(answer)
        }
    }

    /** Runs beside the answer to the caller, which must not wait for the store. */
    private fun store(
        call: ServiceCall,
        claim: Claim,
        outcome: CallOutcome?,
    ) {
        val state = call.context.run.state
        background.launch {
            when {
                state == RunState.NOT_RUN -> claim.release()
                outcome == null || outcome.status >= FIRST_SERVER_ERROR -> Unit
                outcome.bodyBase64.length <= settings.maxOutcomeBytes -> claim.complete(outcome)
            }
        }
    }

    private companion object {
        const val FIRST_SERVER_ERROR: Int = 500
    }
}
