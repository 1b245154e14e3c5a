/** Reports of engines and orders to them in the platform's terms. */
package lacewingweir.platform

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import lacewingweir.coordination.weights.EngineStatus
import lacewingweir.coordination.weights.LoadCommand
import lacewingweir.coordination.weights.LoadResult
import lacewingweir.coordination.weights.WeightsControl
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.transport.http.ClientResponse
import lacewingweir.transport.http.ClientResult
import lacewingweir.transport.http.readAll

private val logger = KotlinLogging.logger {}

internal class PlatformWeightsControl(
    private val calls: PlatformEngineClient,
) : WeightsControl {
    override suspend fun status(engine: EndpointEntry): EngineStatus? {
        val response =
            (calls.call(engine, "GET", PlatformPaths.ENGINE_STATUS) as? ClientResult.Answered)?.response ?: return null
        val body = response.readAll(PlatformEngineClient.MAX_ANSWER_BYTES)
        if (response.status != OK || body == null) return null
        return try {
            val report = parseObject(body)
            EngineStatus(
                commandCount = report.whole("sequence"),
                busy = report.flag("busy"),
                weights = PlatformItemCodec.weights(report),
            )
        } catch (e: IllegalArgumentException) {
            logger.warn { "platform: unreadable report of ${engine.id}: ${e.message}" }
            null
        }
    }

    override suspend fun load(
        engine: EndpointEntry,
        command: LoadCommand,
    ): LoadResult {
        val order =
            buildJsonObject {
                put("operation", "version")
                put("model", command.model.value)
                put("version", command.weights.value)
                // Runs finish under the weights they began with; nothing of them is lost.
                put("swapMode", "queue")
                put("holder", command.holder)
                put("fence", command.fencingToken)
                put("expect", command.expectedCommandCount)
            }
        return when (val result = calls.call(engine, "POST", PlatformPaths.LOAD_COMMAND, order)) {
            is ClientResult.Answered -> answer(result.response)
            is ClientResult.NotSent, is ClientResult.Unknown -> LoadResult.NO_ANSWER
        }
    }

    private suspend fun answer(response: ClientResponse): LoadResult {
        response.readAll(PlatformEngineClient.MAX_ANSWER_BYTES)
        return when (response.status) {
            OK -> LoadResult.ALREADY_LOADED
            ACCEPTED -> LoadResult.ACCEPTED
            CONFLICT -> LoadResult.CONFLICT
            PRECONDITION_FAILED -> LoadResult.FENCED
            else -> LoadResult.REJECTED
        }
    }

    private companion object {
        const val OK = 200
        const val ACCEPTED = 202
        const val CONFLICT = 409
        const val PRECONDITION_FAILED = 412
    }
}
