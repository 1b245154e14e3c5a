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
 * Sends non-repeatable calls that have an idempotency key under a claim.
 *
 * A call that has been sent continues in [background] when its caller disconnects, so that a repeat receives the
 * outcome instead of a 409 refusal.
 */
internal class ClaimedCallExecutor(
    private val claims: ClaimRegister,
    private val sender: ServiceSender,
    private val settings: GatewaySettings,
    private val background: CoroutineScope,
) {
    internal sealed interface Result {
        /** The response of the service to this call or to an earlier call with the same idempotency key. */
        class Answered(
            val outcome: CallOutcome,
        ) : Result

        class Refused(
            val refusal: Refusal,
        ) : Result

        /** The store cannot record claims, and the route allows the call to run without a claim. */
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
                logger.error(
                    e,
                ) { "route: request ${call.context.requestId}: claimed call failed with an internal error" }
                result.complete(Result.Refused(Refusal.unavailable("claim_failed", "The call failed in the router.")))
            }
        }
        return result.await()
    }

    private suspend fun claimAndSend(
        call: ServiceCall,
        idempotencyKey: String,
    ): Result {
        val claimResult = claims.acquire(call.customer, call.route.id, idempotencyKey, call.digest())
        call.context.trace.step("claim", claimResult::class.simpleName.orEmpty())
        return when (claimResult) {
            is ClaimResult.Acquired -> sendClaimed(call, claimResult.claim)
            is ClaimResult.Existing -> handleExisting(call, claimResult.outcome)
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

    private fun handleExisting(
        call: ServiceCall,
        outcome: CallOutcome?,
    ): Result {
        if (outcome != null) {
            call.context.runTracker.markRun()
            return Result.Answered(outcome)
        }
        call.context.runTracker.markSending()
        return Result.Refused(
            Refusal.conflict("outcome_unknown", "The call was claimed before and its outcome isn't known."),
        )
    }

    private suspend fun sendClaimed(
        call: ServiceCall,
        claim: Claim,
    ): Result {
        // Marked before the check, so that a stop between the check and the send does not report a false "not run".
        call.context.runTracker.markSendingEarly()
        if (call.context.stopSignal.isStopped) {
            call.context.runTracker.markNotRun()
            claim.release()
            return Result.Refused(Refusal.unavailable("stopped", "The request was stopped before it was sent."))
        }
        var outcome: CallOutcome? = null
        val sendResult =
            sender.send(call) { response ->
                val body = response.readAll(settings.maxBufferedResponseBytes)
                val contentType = response.headers.get("Content-Type")
                outcome =
                    body?.let { CallOutcome(response.status, contentType, Base64.getEncoder().encodeToString(it)) }
            }
        val receivedOutcome = outcome
        recordOutcome(call, claim, receivedOutcome)
        return when {
            sendResult is ServiceSender.Result.Failed -> Result.Refused(sendResult.refusal)
            receivedOutcome == null ->
                Result.Refused(
                    Refusal.unavailable("answer_lost", "The service's answer was cut."),
                )
            else -> Result.Answered(receivedOutcome)
        }
    }

    /**
     * Completes or releases the claim in [background], so that the response to the caller does not wait for the store.
     *
     * A call that failed or whose response is too large keeps its claim without an outcome, because it may have run.
     */
    private fun recordOutcome(
        call: ServiceCall,
        claim: Claim,
        outcome: CallOutcome?,
    ) {
        val state = call.context.runTracker.state
        background.launch {
            when {
                state == RunState.NOT_RUN -> claim.release()
                outcome == null || outcome.status >= MIN_SERVER_ERROR_STATUS -> Unit
                outcome.bodyBase64.length <= settings.maxStoredOutcomeBytes -> claim.complete(outcome)
            }
        }
    }

    private companion object {
        const val MIN_SERVER_ERROR_STATUS: Int = 500
    }
}
