package lacewingweir.transport.gateway

import lacewingweir.protocol.openai.JsonLimits

/**
 * Bounds of the request path.
 *
 * [engineSilenceMillis] is the longest silence inside a stream before the attempt counts as failed.
 * [resumeDeadlineMillis] bounds the wait for another engine after a stream broke, [rolloutWaitMillis] that for an
 * engine that has loaded the weights. [maxAttempts] counts the first attempt too; the scheduler's retry budget may
 * allow fewer. [maxAnswerBytes] bounds an answer that is put together in memory, and [maxOutcomeBytes] one that is
 * stored with a claim.
 */
public data class GatewaySettings(
    val json: JsonLimits = JsonLimits(),
    val engineSilenceMillis: Long = 10_000,
    val resumeDeadlineMillis: Long = 10_000,
    val rolloutWaitMillis: Long = 20_000,
    val maxAttempts: Int = 4,
    val maxAnswerBytes: Int = 16 * 1024 * 1024,
    val maxOutcomeBytes: Int = 512 * 1024,
    val maxRecordSteps: Int = 64,
)
