package lacewingweir.transport.relay

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

internal class SseFramerTest {
    private val framer = SseFramer()

    private fun feed(text: String) = framer.feed(text.encodeToByteArray()).decodeToString()

    @Test
    fun `only complete events are returned, with unchanged bytes`() {
        expectThat(feed("id: 1\ndata: a\n")).isEmpty()
        expectThat(feed("\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n")
        expectThat(framer.lastId).isEqualTo("1")
        expectThat(framer.hasPartialEvent).isTrue()
        expectThat(feed("ta: b\n\n")).isEqualTo("id: 2\ndata: b\n\n")
        expectThat(framer.lastId).isEqualTo("2")
        expectThat(framer.firstId).isEqualTo("1")
        expectThat(framer.hasPartialEvent).isFalse()
    }

    /** Guards against engines that send bytes without end. Both an endless event and endless other lines count. */
    @Test
    fun `a stream that goes on without an event id exceeds the limit`() {
        for (endless in listOf("data: x", ": comment\n\n", "\n")) {
            val limited = SseFramer(maxBytesWithoutId = 1_000)
            limited.feed("id: 1\ndata: a\n\n".encodeToByteArray())
            val parts = endless.repeat(200 / endless.length).encodeToByteArray()
            repeat(5) {
                expectThat(limited.exceedsLimit).isFalse()
                limited.feed(parts)
            }
            limited.feed(parts)
            expectThat(limited.exceedsLimit).isTrue()
        }
    }

    @Test
    fun `a long stream of events with ids does not exceed the limit`() {
        val limited = SseFramer(maxBytesWithoutId = 1_000)
        repeat(100) { limited.feed("id: $it\ndata: ${"x".repeat(100)}\n\n".encodeToByteArray()) }
        expectThat(limited.exceedsLimit).isFalse()
    }

    @Test
    fun `several events of one read are returned together with their carriage returns`() {
        expectThat(
            feed("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\nid: 3"),
        ).isEqualTo("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n")
        expectThat(framer.lastId).isEqualTo("2")
    }
}
