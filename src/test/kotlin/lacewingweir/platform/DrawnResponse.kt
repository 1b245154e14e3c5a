package lacewingweir.platform

import kotlin.random.Random

/** How the end of a body can be told. */
internal enum class Framing {
    LENGTH,
    CHUNKS,
    CONNECTION,
}

/** A status with the headers that belong to it. */
internal enum class DrawnStatus(
    val line: String,
    val headers: String = "",
) {
    OK("200 OK"),
    CREATED("201 Created"),
    PARTIAL("206 Partial Content"),
    ERROR("500 Internal Server Error"),
    BAD_GATEWAY("502 Bad Gateway"),
    TIMEOUT("504 Gateway Timeout"),
    NOT_FOUND("404 Not Found"),
    UNAVAILABLE("503 Service Unavailable"),
    REFUSED("503 Service Unavailable", "Not-Executed: 1\r\n"),
    ANOTHER_SERVER("421 Misdirected Request", "Not-Executed: 1\r\n"),
    ;

    val code: Int = line.substringBefore(' ').toInt()
    val success: Boolean = code in 200..299
    val notRun: Boolean = headers.isNotEmpty()

    companion object {
        val successes = entries.filter { it.success }
        val failures = entries.filterNot { it.success }
    }
}

/** A response whose head names the requests [ids], and whose body is [body]. */
internal class DrawnResponse(
    val ids: List<String>,
    val status: DrawnStatus,
    val framing: Framing,
    val body: String,
    contentType: String = "text/plain",
    version: String = "HTTP/1.1",
    chunkBytes: Int = 40,
) {
    val head: String =
        "$version ${status.line}\r\n${status.headers}" +
            ids.joinToString("") { "Attempt-Id: $it\r\n" } +
            "Server-Stamp: stamp\r\nContent-Type: $contentType\r\n" +
            when (framing) {
                Framing.LENGTH -> "Content-Length: ${body.length}\r\n\r\n"
                Framing.CHUNKS -> "Transfer-Encoding: chunked\r\n\r\n"
                Framing.CONNECTION -> "Connection: close\r\n\r\n"
            }

    /** All bytes of the response. */
    val text: String =
        head +
            if (framing == Framing.CHUNKS) {
                body.chunked(chunkBytes).joinToString("") { "${it.length.toString(16)}\r\n$it\r\n" } + "0\r\n\r\n"
            } else {
                body
            }

    override fun toString(): String = "${status.line} ids=$ids $framing length=${body.length}"

    companion object {
        fun drawFraming(random: Random): Framing =
            when (random.nextInt(10)) {
                in 0..5 -> Framing.LENGTH
                in 6..8 -> Framing.CHUNKS
                else -> Framing.CONNECTION
            }
    }
}
