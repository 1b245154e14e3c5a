package lacewingweir.transport.http

import io.netty.handler.codec.http.HttpHeaders
import java.io.ByteArrayOutputStream

/** An answer whose body is read part by part, so that a slow reader slows the sender down. */
public interface ClientResponse {
    /** The status code. */
    public val status: Int

    /** The headers of the answer. */
    public val headers: HttpHeaders

    /** Waits at most [timeoutMillis] for the next part. After [ReadResult.Broken] the response is closed. */
    public suspend fun read(timeoutMillis: Long = DEFAULT_READ_TIMEOUT_MILLIS): ReadResult

    /** Gives up the rest of the body and closes the connection. Does nothing after the body's end. */
    public fun close()

    public companion object {
        /** Longest silence inside a body before it counts as broken. */
        public const val DEFAULT_READ_TIMEOUT_MILLIS: Long = 30_000
    }
}

/** Reads the rest of the body into memory. Returns null if it is broken or longer than [maxBytes]. */
public suspend fun ClientResponse.readAll(
    maxBytes: Int,
    timeoutMillis: Long = 10_000,
): ByteArray? {
    val out = ByteArrayOutputStream()
    while (true) {
        when (val part = read(timeoutMillis)) {
            is ReadResult.Data -> {
                if (out.size() + part.bytes.size > maxBytes) {
                    close()
                    return null
                }
                out.write(part.bytes)
            }
            ReadResult.End -> return out.toByteArray()
            is ReadResult.Broken -> return null
        }
    }
}
