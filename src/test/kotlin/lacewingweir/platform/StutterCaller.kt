package lacewingweir.platform

import java.io.BufferedInputStream
import java.io.EOFException
import java.io.IOException
import java.net.Socket
import java.net.SocketTimeoutException

/** A response as its caller saw it. A [status] of 0 means that there was none. */
internal class SeenResponse(
    val id: String,
    val status: Int,
    val headers: Map<String, String>,
    val body: String,
    val complete: Boolean,
    val violation: String? = null,
) {
    override fun toString(): String =
        "status=$status complete=$complete headers=$headers violation=$violation body=" +
            body.replace("\r", "\\r").replace("\n", "\\n")
}

/** A caller's connection on a plain socket, which reads responses as strictly as the protocol allows. */
internal class StutterCaller(
    host: String,
    port: Int,
) : AutoCloseable {
    private val socket = Socket(host, port).also { it.soTimeout = READ_TIMEOUT_MILLIS }
    private val input = BufferedInputStream(socket.getInputStream())

    /** Whether another request can be sent. */
    var open = true
        private set

    fun send(text: String) {
        socket.getOutputStream().write(text.encodeToByteArray())
        socket.getOutputStream().flush()
    }

    /** Reads the response to the request with this [id]. */
    fun read(id: String): SeenResponse {
        val body = StringBuilder()
        var status = 0
        var headers = emptyMap<String, String>()
        try {
            val line = readLine()
            val match =
                statusLine.matchEntire(line)
                    ?: return SeenResponse(id, 0, headers, line, false, "bytes that are no response").also {
                        open =
                            false
                    }
            status = match.groupValues[1].toInt()
            headers =
                generateSequence { readLine().ifEmpty { null } }
                    .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
            readBody(headers, body)
            if (headers["connection"]?.lowercase() == "close") open = false
            return SeenResponse(id, status, headers, body.toString(), true)
        } catch (e: IOException) {
            open = false
            val late = if (e is SocketTimeoutException) "no response" else null
            return SeenResponse(id, status, headers, body.toString(), false, late)
        }
    }

    /** Returns bytes that arrive though no request is waiting, or null. */
    fun unasked(): String? =
        try {
            socket.soTimeout = UNASKED_MILLIS
            input.read().takeIf { it >= 0 }?.let { "byte $it" }
        } catch (_: IOException) {
            null
        }

    /** Waits for the next byte. Returns false if the server ends the connection instead. */
    fun awaitByte(): Boolean = probe(READ_TIMEOUT_MILLIS) != Probe.ENDED

    /** Returns whether the server has ended the connection by now. */
    fun hasEnded(): Boolean = probe(timeoutMillis = 1) == Probe.ENDED

    private enum class Probe {
        BYTE,
        SILENT,
        ENDED,
    }

    /** Finds out what comes next within [timeoutMillis], and leaves it to be read. */
    private fun probe(timeoutMillis: Int): Probe =
        try {
            socket.soTimeout = timeoutMillis
            input.mark(1)
            val byte = input.read()
            input.reset()
            if (byte < 0) Probe.ENDED else Probe.BYTE
        } catch (_: SocketTimeoutException) {
            Probe.SILENT
        } catch (_: IOException) {
            Probe.ENDED
        } finally {
            socket.soTimeout = READ_TIMEOUT_MILLIS
        }

    private fun readBody(
        headers: Map<String, String>,
        body: StringBuilder,
    ) {
        val length = headers["content-length"]?.toInt()
        when {
            headers["transfer-encoding"] == "chunked" ->
                while (true) {
                    val size = readLine().toInt(radix = 16)
                    readBytes(size, body)
                    readLine()
                    if (size == 0) return
                }
            length != null -> readBytes(length, body)
            else -> {
                open = false
                while (true) body.append(input.read().also { if (it < 0) return }.toChar())
            }
        }
    }

    private fun readBytes(
        count: Int,
        body: StringBuilder,
    ) = repeat(count) { body.append(readByte().toChar()) }

    private fun readByte(): Int = input.read().also { if (it < 0) throw EOFException() }

    private fun readLine(): String {
        val line = StringBuilder()
        while (!line.endsWith("\r\n")) line.append(readByte().toChar())
        return line.dropLast(2).toString()
    }

    override fun close() = socket.close()

    private companion object {
        val statusLine = Regex("""HTTP/1\.1 (\d{3}) .*""")
        const val READ_TIMEOUT_MILLIS = 6_000
        const val UNASKED_MILLIS = 30
    }
}
