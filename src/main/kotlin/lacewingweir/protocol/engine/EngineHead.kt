package lacewingweir.protocol.engine

import lacewingweir.coordination.routing.EngineLoad
import lacewingweir.state.id.Incarnation
import lacewingweir.state.id.RequestId
import lacewingweir.state.id.WeightsVersion

/** The validated head of an engine's response. [load] is null if the engine reported none, or a malformed one. */
public data class EngineHead(
    val incarnation: Incarnation,
    val weights: WeightsVersion,
    val load: EngineLoad?,
    val leaving: Boolean,
) {
    /** Result of checking a head. */
    public sealed interface CheckResult {
        /** The response belongs to the request and comes from the expected weights. */
        public data class Accepted(
            val head: EngineHead,
        ) : CheckResult

        /** The response must be dropped. */
        public data class Rejected(
            val reason: DropReason,
            val detail: String,
        ) : CheckResult
    }

    public companion object {
        public const val REQUEST_ID_HEADER: String = "X-Request-Id"
        public const val INCARNATION_HEADER: String = "X-Engine-Incarnation"
        public const val WEIGHTS_HEADER: String = "X-Engine-Weights"
        public const val LOAD_HEADER: String = "X-Engine-Load"
        public const val LEAVING_HEADER: String = "X-Engine-Leaving"

        private const val MAX_HEADER_CHARS: Int = 256

        /** Checks the head of a response to [requestId] from [weights]. [header] returns a header by its name. */
        public fun check(
            requestId: RequestId,
            weights: WeightsVersion,
            header: (String) -> String?,
        ): CheckResult {
            val incarnation = header(INCARNATION_HEADER)
            val reportedWeights = header(WEIGHTS_HEADER)
            return when {
                header(REQUEST_ID_HEADER) != requestId.value ->
                    CheckResult.Rejected(DropReason.REQUEST_ID, "the answer names another request")
                incarnation.isNullOrBlank() || incarnation.length > MAX_HEADER_CHARS ->
                    CheckResult.Rejected(DropReason.INCARNATION, "the answer names no incarnation")
                reportedWeights != weights.value ->
                    CheckResult.Rejected(DropReason.WEIGHTS, "the answer comes from other weights than $weights")
                else -> CheckResult.Accepted(read(Incarnation(incarnation), weights, header))
            }
        }

        private fun read(
            incarnation: Incarnation,
            weights: WeightsVersion,
            header: (String) -> String?,
        ): EngineHead =
            EngineHead(
                incarnation,
                weights,
                header(LOAD_HEADER)?.let(::parseLoad),
                header(LEAVING_HEADER).equals("true", ignoreCase = true),
            )

        /** Parses `running=3;waiting=1;prefill=4000`. Returns null if a value is missing, malformed or negative. */
        public fun parseLoad(value: String): EngineLoad? {
            if (value.length > MAX_HEADER_CHARS) return null
            val numbers =
                value.split(';').associate { part ->
                    part.substringBefore('=').trim() to part.substringAfter('=', "").trim().toLongOrNull()
                }
            val running = numbers["running"].countOrNull()
            val waiting = numbers["waiting"].countOrNull()
            val prefill = numbers["prefill"]?.takeIf { it >= 0 }
            if (running == null || waiting == null || prefill == null) return null
            return EngineLoad(running, waiting, prefill)
        }

        private fun Long?.countOrNull(): Int? = this?.takeIf { it in 0..Int.MAX_VALUE }?.toInt()
    }
}
