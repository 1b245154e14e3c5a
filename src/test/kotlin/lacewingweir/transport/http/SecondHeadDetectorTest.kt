package lacewingweir.transport.http

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** Guards against bodies that are cut or delayed because they contain the text of HTTP messages. */
internal class SecondHeadDetectorTest {
    private fun detector() = SecondHeadDetector { it.get("Id") }

    /** Returns what belongs to the body when it comes in parts of [size] bytes, and whether another head was found. */
    private fun read(
        body: String,
        size: Int,
        followed: Boolean = false,
        endsWithConnection: Boolean = false,
    ): Pair<String, Boolean> {
        val detector = detector()
        val own = StringBuilder()
        for (part in body.chunked(size)) {
            own.append(detector.feed(part.encodeToByteArray()).decodeToString())
            if (detector.found) return own.toString() to true
        }
        own.append(detector.finish(followed, endsWithConnection).decodeToString())
        return own.toString() to detector.found
    }

    private fun expectWhole(body: String) {
        for (size in 1..body.length) expectThat(read(body, size)).isEqualTo(body to false)
    }

    @Test
    fun `text about HTTP belongs to the body`() {
        expectWhole("The server says HTTP/1.1 200 OK, or HTTP/1.1 404.\n")
        expectWhole("H HT HTTP/ HTTP/1.1 HTTP/1.1 2")
        expectWhole("HTTP/1.1 200 OK\nId: 7\n\n")
    }

    @Test
    fun `a body without line ends that quotes a status line is whole`() =
        expectWhole("""{"error":"upstream: HTTP/1.1 502 Bad Gateway","code":502}""")

    @Test
    fun `a head that names no request belongs to the body`() {
        expectWhole("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        expectWhole("HTTP/1.1 200 OK\r\nno header\r\nId: 7\r\n\r\n")
    }

    @Test
    fun `a head that names a request is found wherever the body is split`() {
        val body = "answer HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\nId: 7\r\n\r\nno"
        for (size in 1..body.length) expectThat(read(body, size)).isEqualTo("answer " to true)
    }

    @Test
    fun `a malformed head that names a request is found wherever the body is split`() {
        val named = listOf("Id x: 7", "Id\tx: 7", "Id : 7", " Id: 7")
        val malformed = listOf("X Field: v", "X-Field : v", "\tX-Field: v", " : v").map { "$it\r\nId: 7" }
        for (fields in named + malformed) {
            val body = "answer HTTP/1.1 000 None\r\n$fields\r\n\r\nno"
            for (size in 1..body.length) expectThat(read(body, size)).isEqualTo("answer " to true)
        }
    }

    @Test
    fun `a body that ends within a head and is followed by its rest was filled up`() {
        val head = "HTTP/1.1 500 Internal Server Error\r\nContent-"
        for (end in 1..head.length) {
            expectThat(read(head.take(end), 5, followed = true).second).isTrue()
            expectThat(read(head.take(end), 5).second).isFalse()
        }
    }

    @Test
    fun `a body that ends within a head and with its connection was filled up`() {
        val head = "HTTP/1.1 500 Internal Server Error\r\nContent-"
        for (end in "HTTP/1.1 500".length..head.length) {
            expectThat(read(head.take(end), 5, endsWithConnection = true).second).isTrue()
        }
        expectThat(read("HTTP/1.1 50", 5, endsWithConnection = true).second).isFalse()
    }

    @Test
    fun `an event without a beginning of a head isn't held back`() {
        val event = "id: 1\ndata: about HTTP/1.1 200 OK\n\n"
        expectThat(detector().feed(event.encodeToByteArray()).decodeToString()).isEqualTo(event)
    }
}
