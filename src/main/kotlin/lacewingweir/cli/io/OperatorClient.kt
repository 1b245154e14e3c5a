package lacewingweir.cli.io

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.runBlocking
import lacewingweir.protocol.settings.HostPort
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResult
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.http.readAll
import java.util.concurrent.TimeUnit

/** Calls the operator ports of instances. */
public open class OperatorClient {
    /** Sends a POST request with the JSON text [body], or a GET request if [body] is null. */
    public open fun call(
        address: HostPort,
        path: String,
        body: String? = null,
    ): OperatorCallResult {
        val request =
            ClientRequest(
                host = address.host,
                port = address.port,
                method = if (body == null) "GET" else "POST",
                path = path,
                body = body.orEmpty().encodeToByteArray(),
                connectTimeoutMillis = CONNECT_TIMEOUT_MILLIS,
                headTimeoutMillis = CALL_TIMEOUT_MILLIS,
            )
        // A command makes a few calls at most, so each has a thread of its own rather than a client to be closed.
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        return try {
            HttpClient(group).use { client -> runBlocking { exchange(client, request) } }
        } finally {
            group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        }
    }

    private suspend fun exchange(
        client: HttpClient,
        request: ClientRequest,
    ): OperatorCallResult =
        when (val result = client.open(request)) {
            is ClientResult.NotSent -> OperatorCallResult.Unreachable(result.reason)
            is ClientResult.Unknown -> OperatorCallResult.Unknown(result.reason)
            is ClientResult.Answered ->
                result.response
                    .readAll(MAX_RESPONSE_BYTES, CALL_TIMEOUT_MILLIS)
                    ?.let { OperatorCallResult.Answered(result.response.status, it.decodeToString()) }
                    ?: OperatorCallResult.Unknown("incomplete or too large answer")
        }

    private companion object {
        const val CONNECT_TIMEOUT_MILLIS: Long = 1_000

        /** Longer than the 2 s for which an instance waits for its peers to confirm a withdrawal. */
        const val CALL_TIMEOUT_MILLIS: Long = 5_000

        /** Far more than a report on the largest fleet. */
        const val MAX_RESPONSE_BYTES: Int = 64 * 1024 * 1024
        const val SHUTDOWN_TIMEOUT_MILLIS: Long = 500
    }
}
