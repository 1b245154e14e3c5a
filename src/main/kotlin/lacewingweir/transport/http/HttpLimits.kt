package lacewingweir.transport.http

/**
 * Limits on the memory and the time that a connection can take up on the server.
 *
 * @property maxBodyBytes the largest request body; a larger one is answered with 413
 * @property maxHeaderBytes the largest header section of a request; a larger one is answered with 431
 * @property maxLineBytes the longest request line; a longer one is answered with 414
 * @property idleReadMillis how long the client may send nothing: in the middle of a request, the request is then
 *   answered with 408; between requests, the connection is closed
 * @property writeStallMillis how long the client may read nothing of a response that waits for it; after that it is
 *   disconnected
 * @property maxPipelinedRequests the largest number of requests that wait for the current one of their connection; if
 *   there are more, the first of them is answered with 503 and the connection is closed
 */
public data class HttpLimits(
    val maxBodyBytes: Int = 4 * 1024 * 1024,
    val maxHeaderBytes: Int = 32 * 1024,
    val maxLineBytes: Int = 8 * 1024,
    val idleReadMillis: Long = 10_000,
    val writeStallMillis: Long = 30_000,
    val maxPipelinedRequests: Int = 4,
)
