package lacewingweir.transport.gateway

import lacewingweir.protocol.openai.JsonLimits

/**
 * Limits and timeouts of request processing.
 *
 * [engineIdleTimeoutMillis] is the longest time between two events of an engine's stream before the attempt fails.
 * [resumeTimeoutMillis] limits the time to continue a response on another engine after its stream failed.
 * [rolloutWaitTimeoutMillis] limits the wait for an engine that serves the requested weights version, so that a
 * stalled rollout does not delay requests until the deadline of their route. [maxAttempts] includes the first attempt;
 * the scheduler's retry budget may allow fewer. [maxBufferedResponseBytes] limits a response that is assembled in
 * memory; for a chat completion, it counts the characters of the chunks. [maxStoredOutcomeBytes] limits the Base64 text
 * of a response body that is stored with a claim. [maxServiceResponseBytes] limits a response of a plain service that
 * is passed on as it arrives.
 * [maxRecordSteps] limits the steps in one [RequestRecord].
 */
public data class GatewaySettings(
    val json: JsonLimits = JsonLimits(),
    val engineIdleTimeoutMillis: Long = 10_000,
    val resumeTimeoutMillis: Long = 10_000,
    val rolloutWaitTimeoutMillis: Long = 20_000,
    val maxAttempts: Int = 4,
    val maxBufferedResponseBytes: Int = 16 * 1024 * 1024,
    val maxStoredOutcomeBytes: Int = 512 * 1024,
    val maxServiceResponseBytes: Long = 256L * 1024 * 1024,
    val maxRecordSteps: Int = 64,
)
