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

    @Test
    fun `several events of one read are returned together with their carriage returns`() {
        expectThat(
            feed("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\nid: 3"),
        ).isEqualTo("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n")
        expectThat(framer.lastId).isEqualTo("2")
    }
}
