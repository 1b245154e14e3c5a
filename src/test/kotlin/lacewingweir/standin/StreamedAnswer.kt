package lacewingweir.standin

import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResponse
import lacewingweir.transport.http.ClientResult
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.http.ReadResult

/** The received part of a streamed answer. [complete] is false if the connection closed before the end of the body. */
internal class StreamedAnswer(
    val response: ClientResponse,
    val text: String,
    val complete: Boolean,
) {
    /** The ids of the events in order of arrival. */
    val indexes: List<Int> = Regex("(?m)^id: (\\d+)$").findAll(text).map { it.groupValues[1].toInt() }.toList()

    /** The joined content of the chunks. */
    val content: String =
        Regex("\"content\":\"([^\"]*)\"").findAll(text).joinToString("") { it.groupValues[1] }

    val cachedTokens: Int? =
        Regex("\"cached_tokens\":(\\d+)")
            .find(text)
            ?.groupValues
            ?.get(1)
            ?.toInt()
}

internal suspend fun HttpClient.post(
    port: Int,
    path: String,
    body: String,
    headers: List<Pair<String, String>> = emptyList(),
    headTimeoutMillis: Long = 3_000,
): ClientResult =
    open(
        ClientRequest(
            "127.0.0.1",
            port,
            "POST",
            path,
            headers,
            body.toByteArray(),
            headTimeoutMillis = headTimeoutMillis,
        ),
    )

internal suspend fun HttpClient.stream(
    port: Int,
    path: String,
    body: String,
    headers: List<Pair<String, String>> = emptyList(),
): StreamedAnswer = (post(port, path, body, headers) as ClientResult.Answered).response.readStream()

/** Reads the body until it ends or the connection fails. */
internal suspend fun ClientResponse.readStream(): StreamedAnswer {
    val text = StringBuilder()
    while (true) {
        when (val part = read(3_000)) {
            is ReadResult.Data -> text.append(part.bytes.decodeToString())
            ReadResult.End -> return StreamedAnswer(this, text.toString(), complete = true)
            is ReadResult.Broken -> return StreamedAnswer(this, text.toString(), complete = false)
        }
    }
}
