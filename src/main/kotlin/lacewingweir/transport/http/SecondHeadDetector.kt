package lacewingweir.transport.http

import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaders

/**
 * Finds the head of another response inside the body of a response.
 *
 * A server that breaks off a response, or gives it no length, and responds again on the same connection writes the
 * second response where the rest of the first body is due. The end of such a body can't be told any more.
 *
 * Bytes that may be the beginning of a head are held back until that is decided. What looks like a head belongs to the
 * body unless it names a request, so a body may contain the text of HTTP messages. A body that ends within such a head,
 * or contains one that names no request, was filled up if more bytes follow it, which are the rest of the other
 * response. Nothing can follow a body that ends with its connection, so there a status line is enough.
 *
 * [namedRequest] returns the id of the request that the headers of a response name, or null if they name none.
 */
internal class SecondHeadDetector(
    private val namedRequest: (HttpHeaders) -> String?,
) {
    private var held = ByteArray(0)
    private var containsUnnamedHead = false

    /** Whether the head of another response was found. */
    var found = false
        private set

    /** Returns what is known to belong to the body, once [bytes] were received after those before. */
    fun feed(bytes: ByteArray): ByteArray {
        val input = if (held.isEmpty()) bytes else held + bytes
        var from = 0
        while (true) {
            val start = indexOfCandidate(input, from)
            if (start < 0) return input.also { held = NOTHING }
            val verdict = judge(input, start)
            if (verdict != Verdict.NO_HEAD) {
                found = verdict == Verdict.HEAD
                held = input.copyOfRange(start, input.size)
                return input.copyOfRange(0, start)
            }
            from = start + 1
        }
    }

    /**
     * Returns the bytes that were held back at the end of the body. Sets [found] if the body was filled up.
     *
     * [followed] tells whether more bytes have arrived behind the body, and [endsWithConnection] whether the body ended
     * with the connection.
     */
    fun finish(
        followed: Boolean,
        endsWithConnection: Boolean,
    ): ByteArray {
        val cutInHead = endsWithConnection && held.size >= STATUS_LINE_BYTES
        found = cutInHead || (followed && (held.isNotEmpty() || containsUnnamedHead))
        return held.also { held = NOTHING }
    }

    /** Returns the first position from which the rest of [input] begins like a status line, or -1. */
    private fun indexOfCandidate(
        input: ByteArray,
        from: Int,
    ): Int {
        for (i in from until input.size) {
            if (input[i] == FIRST_BYTE && beginsStatusLine(input, i)) return i
        }
        return -1
    }

    private fun beginsStatusLine(
        input: ByteArray,
        start: Int,
    ): Boolean {
        val length = minOf(STATUS_LINE_BYTES, input.size - start)
        return (0 until length).all { i ->
            val expected = STATUS_LINE[i]
            val byte = input[start + i].toInt().toChar()
            if (expected == DIGIT) byte in '0'..'9' else byte == expected
        }
    }

    private enum class Verdict {
        HEAD,
        NO_HEAD,
        UNDECIDED,
    }

    private fun judge(
        input: ByteArray,
        start: Int,
    ): Verdict {
        val text = String(input, start, minOf(input.size - start, MAX_HEAD_BYTES), Charsets.ISO_8859_1)
        val headers = DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders()
        val lines = text.split("\r\n")
        for (line in lines.drop(1).dropLast(1)) {
            if (line.isEmpty() && !headers.isEmpty) containsUnnamedHead = true
            val colon = line.indexOf(':')
            if (colon <= 0) return Verdict.NO_HEAD
            // The second response may be malformed, so a blank ends the name of a field as well.
            val name = line.take(colon).trimStart().takeWhile { !it.isWhitespace() }
            headers.add(name, line.drop(colon + 1).trim())
            if (namedRequest(headers) != null) return Verdict.HEAD
        }
        // A line feed alone doesn't end a line of a head.
        val complete = text.length == MAX_HEAD_BYTES || '\n' in lines.last()
        return if (complete) Verdict.NO_HEAD else Verdict.UNDECIDED
    }

    private companion object {
        const val DIGIT = '#'
        const val STATUS_LINE = "HTTP/1.# ###"
        const val STATUS_LINE_BYTES = STATUS_LINE.length
        const val FIRST_BYTE = 'H'.code.toByte()
        const val MAX_HEAD_BYTES: Int = 8 * 1024
        val NOTHING = ByteArray(0)
    }
}
