package lacewingweir.transport.http

import io.netty.handler.codec.http.HttpHeaders
import java.io.ByteArrayOutputStream

/** A response whose body is read in chunks, so that a slow reader applies backpressure to the server. */
public interface ClientResponse {
    /** The status code. */
    public val status: Int

    /** The response headers. */
    public val headers: HttpHeaders

    /** Whether the body has neither a length nor chunks, so that the end of the connection is its end. */
    public val endsWithConnection: Boolean
        get() = false

    /** Waits at most [timeoutMillis] for the next chunk. Closes the response if the result is [ReadResult.Broken]. */
    public suspend fun read(timeoutMillis: Long = DEFAULT_READ_TIMEOUT_MILLIS): ReadResult

    /** Closes the connection without reading the rest of the body. Does nothing after the end of the body. */
    public fun close()

    public companion object {
        /** The longest wait for the next chunk of a body before it is reported as [ReadResult.Broken]. */
        public const val DEFAULT_READ_TIMEOUT_MILLIS: Long = 30_000
    }
}

/**
 * Reads the rest of the body into memory, waiting at most [timeoutMillis] for each chunk. Returns `null` if the body is
 * broken or longer than [maxBytes], or if [mayBuffer] returns false for the size of a chunk.
 */
public suspend fun ClientResponse.readAll(
    maxBytes: Int,
    timeoutMillis: Long = 10_000,
    mayBuffer: (bytes: Int) -> Boolean = { true },
): ByteArray? {
    val out = ByteArrayOutputStream()
    while (true) {
        when (val chunk = read(timeoutMillis)) {
            is ReadResult.Data -> {
                if (out.size() + chunk.bytes.size > maxBytes || !mayBuffer(chunk.bytes.size)) {
                    close()
                    return null
                }
                out.write(chunk.bytes)
            }
            ReadResult.End -> return out.toByteArray()
            is ReadResult.Broken -> return null
        }
    }
}
