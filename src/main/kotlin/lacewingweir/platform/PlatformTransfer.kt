/** Copies of running answers between engines in the platform's terms. */
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
import lacewingweir.transport.http.readAll
import lacewingweir.transport.relay.KvCacheCopy
import lacewingweir.transport.relay.KvCacheTransfer
import lacewingweir.transport.relay.TransferResult

private val logger = KotlinLogging.logger {}

internal class PlatformTransfer(
    private val calls: PlatformCalls,
) : KvCacheTransfer {
    override suspend fun copy(
        run: RequestId,
        source: EndpointEntry,
        target: EndpointEntry,
        stop: Boolean,
    ): TransferResult {
        val order =
            buildJsonObject {
                put("id", run.value)
                put("target", target.address)
                // Its name means the last copy, before which the engine stops the run.
                put("last", stop)
            }
        return when (
            val result = calls.call(source, "POST", PlatformPaths.RUN_MOVE, order, COPY_TIMEOUT_MILLIS)
        ) {
            is ClientResult.Answered -> answer(result.response, source)
            is ClientResult.NotSent -> TransferResult.Refused(result.reason, remainingCopy = null)
            is ClientResult.Unknown -> TransferResult.Unknown(result.reason)
        }
    }

    private suspend fun answer(
        response: ClientResponse,
        source: EndpointEntry,
    ): TransferResult {
        val copy = response.readAll(PlatformCalls.MAX_ANSWER_BYTES)?.let(::handle)?.let { KvCacheCopy(source, it) }
        return when {
            response.status == COPIED && copy != null -> TransferResult.Copied(copy)
            response.status == COPIED -> TransferResult.Unknown("no handle")
            response.status == NO_RUN -> TransferResult.NoRun
            else -> TransferResult.Refused("status ${response.status}", remainingCopy = copy)
        }
    }

    /** The name of a copy, which may be text or a number; null if the answer has none. */
    private fun handle(body: ByteArray): String? =
        try {
            if (body.isEmpty()) null else name(parseObject(body))
        } catch (e: IllegalArgumentException) {
            logger.warn { "platform: unreadable answer to a move: ${e.message}" }
            null
        }

    private fun name(answer: JsonObject): String? = (answer["handle"] as? JsonPrimitive)?.content

    override suspend fun release(copy: KvCacheCopy) {
        val result = calls.call(copy.source, "DELETE", PlatformPaths.RUN_COPY + copy.handle)
        if (result is ClientResult.Answered) {
            result.response.readAll(PlatformCalls.MAX_ANSWER_BYTES)
        } else {
            // The engines free it themselves after some seconds.
            logger.info { "platform: copy ${copy.handle} at ${copy.source.id} not released: $result" }
        }
    }

    private companion object {
        const val COPIED = 200
        const val NO_RUN = 404

        /** A large answer is copied in a tenth of a second; others may be queued before it. */
        const val COPY_TIMEOUT_MILLIS: Long = 1_500
    }
}
