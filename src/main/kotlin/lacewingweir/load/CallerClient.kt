package lacewingweir.load

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResponse
import lacewingweir.transport.http.ClientResult
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.http.ReadResult
import lacewingweir.transport.http.readAll

/** Sends chat completion requests like a caller and checks that the streamed answers are complete. */
public class CallerClient(
    private val http: HttpClient,
) {
    /**
     * Sends a streamed request to [target], given as `host:port`, and reads the answer to its end.
     *
     * [scheduledNanos] is the [System.nanoTime] at which the request was due. Latencies are measured from it.
     */
    public suspend fun chat(
        target: String,
        key: String,
        model: String,
        prompt: String,
        answerTokens: Int,
        scheduledNanos: Long,
    ): RequestOutcome {
        val (host, port) = target.split(':')
        val request =
            ClientRequest(
                host = host,
                port = port.toInt(),
                method = "POST",
                path = "/v1/chat/completions",
                headers = listOf("Content-Type" to "application/json", "Authorization" to "Bearer $key"),
                body = body(model, prompt, answerTokens).toByteArray(),
                headTimeoutMillis = READ_TIMEOUT_MILLIS,
            )
        return when (val result = http.open(request)) {
            is ClientResult.Answered -> readAnswer(result.response, scheduledNanos)
            is ClientResult.NotSent -> RequestOutcome.Refused(0, "not-run")
            is ClientResult.Unknown -> RequestOutcome.Broken("no answer: ${result.reason}")
        }
    }

    private fun body(
        model: String,
        prompt: String,
        answerTokens: Int,
    ): String =
        buildJsonObject {
            put("model", model)
            put("stream", true)
            put("max_tokens", answerTokens)
            putJsonObject("stream_options") { put("include_usage", true) }
            putJsonArray("messages") {
                add(
                    buildJsonObject {
                        put("role", "user")
                        put("content", prompt)
                    },
                )
            }
        }.toString()

    private suspend fun readAnswer(
        response: ClientResponse,
        scheduledNanos: Long,
    ): RequestOutcome {
        if (response.status != HTTP_OK) {
            val runState = response.headers.get("X-Lacewingweir-Run") ?: "missing"
            response.readAll(MAX_ERROR_BODY_BYTES)
            return RequestOutcome.Refused(response.status, runState)
        }
        val validator = AnswerValidator(scheduledNanos)
        while (true) {
            when (val result = response.read(READ_TIMEOUT_MILLIS)) {
                is ReadResult.Data -> validator.feed(result.bytes)
                ReadResult.End -> return validator.outcome("stream ended without [DONE]")
                is ReadResult.Broken -> return validator.outcome("connection lost during the stream: ${result.reason}")
            }
        }
    }

    private class AnswerValidator(
        private val scheduledNanos: Long,
    ) {
        private val buffer = StringBuilder()
        private var firstTokenNanos = 0L
        private var contentChunks = 0L
        private var usage: JsonObject? = null
        private var error: String? = null
        private var doneReceived = false

        fun feed(bytes: ByteArray) {
            buffer.append(bytes.decodeToString())
            while (true) {
                val end = buffer.indexOf("\n\n")
                if (end < 0) return
                onEvent(buffer.substring(0, end))
                buffer.delete(0, end + 2)
            }
        }

        private fun onEvent(text: String) {
            val lines = text.lines()
            val data = lines.firstOrNull { it.startsWith("data:") }?.removePrefix("data:")?.trim() ?: return
            when {
                lines.any { it.startsWith("event:") && it.contains("error") } -> error = data
                data == "[DONE]" -> doneReceived = true
                else -> onChunk(Json.parseToJsonElement(data).jsonObject)
            }
        }

        private fun onChunk(json: JsonObject) {
            (json["usage"] as? JsonObject)?.let { usage = it }
            val choice = json["choices"]?.jsonArray?.firstOrNull()?.jsonObject ?: return
            val content = (choice["delta"] as? JsonObject)?.get("content") as? JsonPrimitive
            if (content?.contentOrNull.isNullOrEmpty()) return
            if (contentChunks++ == 0L) firstTokenNanos = System.nanoTime()
        }

        fun outcome(truncationReason: String): RequestOutcome {
            error?.let { return RequestOutcome.ExplicitError(it) }
            val reportedUsage = usage
            if (!doneReceived || reportedUsage == null) return RequestOutcome.Broken(truncationReason)
            val completionTokens = reportedUsage.long("completion_tokens")
            if (completionTokens != contentChunks) {
                return RequestOutcome.Broken("received $contentChunks of $completionTokens tokens")
            }
            val details = reportedUsage["prompt_tokens_details"] as? JsonObject
            return RequestOutcome.Complete(
                firstTokenMillis = (firstTokenNanos - scheduledNanos) / NANOS_PER_MILLI,
                totalMillis = (System.nanoTime() - scheduledNanos) / NANOS_PER_MILLI,
                promptTokens = reportedUsage.long("prompt_tokens"),
                cachedTokens = details?.long("cached_tokens") ?: 0,
                answerTokens = completionTokens,
            )
        }

        private fun JsonObject.long(name: String): Long = get(name)?.jsonPrimitive?.longOrNull ?: 0
    }

    private companion object {
        const val HTTP_OK: Int = 200
        const val MAX_ERROR_BODY_BYTES: Int = 65_536
        const val READ_TIMEOUT_MILLIS: Long = 60_000
        const val NANOS_PER_MILLI: Double = 1e6
    }
}
