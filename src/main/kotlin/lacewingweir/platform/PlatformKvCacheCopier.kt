package lacewingweir.platform

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.id.RequestId
import lacewingweir.transport.http.ClientResponse
import lacewingweir.transport.http.ClientResult
import lacewingweir.transport.relay.CopyResult
import lacewingweir.transport.relay.KvCacheCopier
import lacewingweir.transport.relay.KvCacheCopy

private val logger = KotlinLogging.logger {}

/** A [KvCacheCopier] that sends control requests to the engine on which the run is executed. */
internal class PlatformKvCacheCopier(
    private val engines: PlatformEngineClient,
) : KvCacheCopier {
    override suspend fun copy(
        run: RequestId,
        source: EndpointEntry,
        target: EndpointEntry,
        stop: Boolean,
    ): CopyResult {
        val command =
            buildJsonObject {
                put("id", run.value)
                put("target", target.address)
                // `last` marks the final copy of a run: the engine stops the run before it takes the copy.
                put("last", stop)
            }
        val timeoutMillis = if (stop) LAST_COPY_TIMEOUT_MILLIS else COPY_TIMEOUT_MILLIS
        return when (
            val result = engines.call(source, "POST", PlatformPaths.KV_CACHE_COPY, command, timeoutMillis)
        ) {
            is ClientResult.Answered -> parseResult(result.response, source)
            is ClientResult.NotSent -> CopyResult.Refused(result.reason, remainingCopy = null)
            is ClientResult.Unknown -> CopyResult.Unknown(result.reason)
        }
    }

    private suspend fun parseResult(
        response: ClientResponse,
        source: EndpointEntry,
    ): CopyResult {
        val copy =
            engines
                .readBody(response)
                ?.let(::parseHandle)
                ?.let { KvCacheCopy(source, it) }
        return when {
            response.status == COPIED && copy != null -> CopyResult.Copied(copy)
            response.status == COPIED -> CopyResult.Unknown("response without a handle")
            response.status == RUN_NOT_FOUND -> CopyResult.RunNotFound
            else -> CopyResult.Refused("status ${response.status}", remainingCopy = copy)
        }
    }

    /** Returns the handle of a copy, which may be a string or a number, or null if the response has none. */
    private fun parseHandle(body: ByteArray): String? =
        try {
            if (body.isEmpty()) null else handleField(parseObject(body))
        } catch (e: IllegalArgumentException) {
            logger.warn { "platform: malformed response to a copy request: ${e.message}" }
            null
        }

    private fun handleField(body: JsonObject): String? = (body["handle"] as? JsonPrimitive)?.content

    override suspend fun release(copy: KvCacheCopy) {
        val result = engines.call(copy.source, "DELETE", PlatformPaths.KV_CACHE_COPY_PREFIX + copy.handle)
        if (result is ClientResult.Answered) {
            engines.readBody(result.response)
        } else {
            // Engines free unused copies after a few seconds.
            logger.info { "platform: copy ${copy.handle} at ${copy.source.id} not released: $result" }
        }
    }

    private companion object {
        const val COPIED = 200
        const val RUN_NOT_FOUND = 404

        /** Copying the KV cache of a long run takes about 100 ms, but the copy may be queued behind others. */
        const val COPY_TIMEOUT_MILLIS: Long = 1_500

        /** A stopped run waits for its last copy, and callers give up a stream after a pause of two seconds or more. */
        const val LAST_COPY_TIMEOUT_MILLIS: Long = 2_000
    }
}
