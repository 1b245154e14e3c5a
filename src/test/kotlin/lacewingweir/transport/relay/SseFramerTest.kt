package lacewingweir.transport.relay

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

internal class SseFramerTest {
    private val blocks = SseFramer()

    private fun feed(text: String) = blocks.feed(text.encodeToByteArray()).decodeToString()

    @Test
    fun `only whole events pass, bytes unchanged`() {
        expectThat(feed("id: 1\ndata: a\n")).isEmpty()
        expectThat(feed("\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n")
        expectThat(blocks.lastId).isEqualTo("1")
        expectThat(blocks.hasPartialEvent).isTrue()
        expectThat(feed("ta: b\n\n")).isEqualTo("id: 2\ndata: b\n\n")
        expectThat(blocks.lastId).isEqualTo("2")
        expectThat(blocks.firstId).isEqualTo("1")
        expectThat(blocks.hasPartialEvent).isFalse()
    }

    @Test
    fun `several events of one read pass together and carriage returns are kept`() {
        expectThat(
            feed("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\nid: 3"),
        ).isEqualTo("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n")
        expectThat(blocks.lastId).isEqualTo("2")
    }
}
