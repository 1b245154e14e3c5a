package lacewingweir.cli.io

import lacewingweir.protocol.settings.HostPort
import java.io.IOException
import java.net.ConnectException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpConnectTimeoutException
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** Calls the operator ports of instances. */
public open class OperatorClient {
    private val client: HttpClient by lazy {
        HttpClient.newBuilder().connectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MILLIS)).build()
    }

    /** Sends a POST request with the JSON text [body], or a GET request if [body] is null. */
    public open fun call(
        address: HostPort,
        path: String,
        body: String? = null,
    ): OperatorCallResult {
        val request =
            HttpRequest.newBuilder(URI("http://$address$path")).timeout(Duration.ofMillis(CALL_TIMEOUT_MILLIS))
        if (body != null) request.POST(HttpRequest.BodyPublishers.ofString(body))
        return try {
            val response = client.send(request.build(), HttpResponse.BodyHandlers.ofString())
            OperatorCallResult.Answered(response.statusCode(), response.body())
        } catch (e: ConnectException) {
            OperatorCallResult.Unreachable(e.message ?: "connection refused")
        } catch (e: HttpConnectTimeoutException) {
            OperatorCallResult.Unreachable(e.message ?: "connection timed out")
        } catch (e: IOException) {
            OperatorCallResult.Unknown(e.message ?: e.javaClass.simpleName)
        }
    }

    private companion object {
        const val CONNECT_TIMEOUT_MILLIS: Long = 1_000

        /** Longer than the 2 s for which an instance waits for its peers to confirm a withdrawal. */
        const val CALL_TIMEOUT_MILLIS: Long = 5_000
    }
}
