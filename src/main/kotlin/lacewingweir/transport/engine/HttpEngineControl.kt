/** Commands to engines over HTTP. */
package lacewingweir.transport.engine

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import lacewingweir.coordination.rollout.CommandResult
import lacewingweir.coordination.rollout.EngineControl
import lacewingweir.coordination.rollout.EngineStatus
import lacewingweir.coordination.rollout.LoadedModel
import lacewingweir.protocol.engine.EngineJson
import lacewingweir.protocol.engine.EngineLoadMessage
import lacewingweir.protocol.engine.EngineModelState
import lacewingweir.protocol.engine.EngineStatusMessage
import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.id.Incarnation
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.WeightsVersion
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResult
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.http.readAll
import java.util.UUID

private val logger = KotlinLogging.logger {}

/**
 * An [EngineControl] that uses the HTTP API of the engines.
 *
 * Connecting, waiting for the head of the response and reading its body are each limited to [timeoutMillis], so
 * a call ends within about three times that time.
 */
public class HttpEngineControl(
    private val client: HttpClient,
    private val timeoutMillis: Long = 1_000,
) : EngineControl {
    private class Response(
        val status: Int,
        val body: ByteArray,
    )

    private sealed interface Exchange {
        class Answered(
            val response: Response,
        ) : Exchange

        class Failed(
            val reason: String,
        ) : Exchange
    }

    override suspend fun status(endpoint: Endpoint): EngineStatus? {
        val response = (exchange(endpoint, "GET", STATUS_PATH) as? Exchange.Answered)?.response
        if (response?.status != HTTP_OK) return null
        return try {
            EngineJson.decodeFromString(EngineStatusMessage.serializer(), response.body.decodeToString()).toStatus()
        } catch (e: SerializationException) {
            logger.warn { "rollout: malformed status of ${endpoint.id}: ${e.message}" }
            null
        }
    }

    override suspend fun load(
        endpoint: Endpoint,
        model: ModelName,
        weights: WeightsVersion,
        fencingToken: Long,
    ): CommandResult {
        val message = EngineLoadMessage(model.value, weights.value, fencingToken, UUID.randomUUID().toString())
        val body = EngineJson.encodeToString(EngineLoadMessage.serializer(), message).encodeToByteArray()
        return when (val exchanged = exchange(endpoint, "POST", LOAD_PATH, body)) {
            is Exchange.Failed -> CommandResult.Failed(exchanged.reason)
            is Exchange.Answered ->
                when (val status = exchanged.response.status) {
                    HTTP_ACCEPTED -> CommandResult.Accepted
                    HTTP_CONFLICT -> CommandResult.Fenced
                    else -> CommandResult.Failed("the engine answered with status $status")
                }
        }
    }

    private suspend fun exchange(
        endpoint: Endpoint,
        method: String,
        path: String,
        body: ByteArray = ByteArray(0),
    ): Exchange {
        val request =
            ClientRequest(
                endpoint.host,
                endpoint.port,
                method,
                path,
                listOf("Content-Type" to "application/json"),
                body,
                connectTimeoutMillis = timeoutMillis,
                headTimeoutMillis = timeoutMillis,
            )
        return when (val result = client.open(request)) {
            is ClientResult.NotSent -> Exchange.Failed(result.reason)
            is ClientResult.Unknown -> Exchange.Failed(result.reason)
            is ClientResult.Answered -> {
                val response = result.response
                val bytes = withTimeoutOrNull(timeoutMillis) { response.readAll(MAX_RESPONSE_BYTES, timeoutMillis) }
                response.close()
                bytes?.let { Exchange.Answered(Response(response.status, it)) }
                    ?: Exchange.Failed("incomplete response")
            }
        }
    }

    private fun EngineStatusMessage.toStatus(): EngineStatus =
        EngineStatus(
            Incarnation(incarnation),
            leaving,
            running,
            waiting,
            models.map {
                LoadedModel(ModelName(it.name), WeightsVersion(it.weights), it.state == EngineModelState.LOADING)
            },
        )

    private companion object {
        const val STATUS_PATH: String = "/engine/status"
        const val LOAD_PATH: String = "/engine/load"
        const val MAX_RESPONSE_BYTES: Int = 256 * 1024
        const val HTTP_OK: Int = 200
        const val HTTP_ACCEPTED: Int = 202
        const val HTTP_CONFLICT: Int = 409
    }
}
