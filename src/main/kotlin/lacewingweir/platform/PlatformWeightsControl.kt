package lacewingweir.platform

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.longOrNull
import kotlinx.serialization.json.put
import lacewingweir.coordination.weights.LoadWeightsCommand
import lacewingweir.coordination.weights.LoadWeightsResult
import lacewingweir.coordination.weights.WeightsControl
import lacewingweir.coordination.weights.WeightsStatus
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.transport.http.ClientResponse
import lacewingweir.transport.http.ClientResult

private val logger = KotlinLogging.logger {}

/** A [WeightsControl] that sends control requests to the engines. */
internal class PlatformWeightsControl(
    private val engines: PlatformEngineClient,
) : WeightsControl {
    override suspend fun status(engine: EndpointEntry): WeightsStatus? {
        val response =
            (engines.call(engine, "GET", PlatformPaths.ENGINE_STATUS) as? ClientResult.Answered)?.response
                ?: return null
        val body = engines.readBody(response)
        if (response.status != OK || body == null) return null
        return try {
            val fields = parseObject(body)
            WeightsStatus(
                // `sequence` counts the accepted commands.
                commandCount = fields.integer("sequence"),
                busy = fields.boolean("busy"),
                weights = PlatformItemCodec.weights(fields),
                leaving = (fields["state"] as? JsonPrimitive)?.content == STATE_LEAVING,
                copies = (fields["handles"] as? JsonPrimitive)?.longOrNull,
            )
        } catch (e: IllegalArgumentException) {
            logger.warn { "platform: malformed status of ${engine.id}: ${e.message}" }
            null
        }
    }

    override suspend fun load(
        engine: EndpointEntry,
        command: LoadWeightsCommand,
    ): LoadWeightsResult {
        val body =
            buildJsonObject {
                // This operation loads the weights with the number `version`.
                put("operation", "version")
                put("model", command.model.value)
                put("version", command.weights.value)
                // In this mode, running requests finish with the weights that they started with.
                put("swapMode", "queue")
                put("holder", command.holder)
                put("fence", command.fencingToken)
                put("expect", command.expectedCommandCount)
            }
        return when (val result = engines.call(engine, "POST", PlatformPaths.LOAD_COMMAND, body)) {
            is ClientResult.Answered -> parseResult(result.response)
            is ClientResult.NotSent, is ClientResult.Unknown -> LoadWeightsResult.NO_ANSWER
        }
    }

    private suspend fun parseResult(response: ClientResponse): LoadWeightsResult {
        engines.readBody(response)
        return when (response.status) {
            OK -> LoadWeightsResult.ALREADY_LOADED
            ACCEPTED -> LoadWeightsResult.ACCEPTED
            CONFLICT -> LoadWeightsResult.CONFLICT
            PRECONDITION_FAILED -> LoadWeightsResult.FENCED
            else -> LoadWeightsResult.REJECTED
        }
    }

    private companion object {
        /** The state of an engine that shuts down soon. */
        const val STATE_LEAVING = "draining"
        const val OK = 200
        const val ACCEPTED = 202
        const val CONFLICT = 409
        const val PRECONDITION_FAILED = 412
    }
}
