package lacewingweir.protocol.engine

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.ByteRange
import net.jqwik.api.constraints.Size
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNull

internal class SseReaderTest {
    private val text = ": note\r\nid: 4\ndata: é1\n\nevent: error\rdata:two\rdata: three\r\r\ndata: [DONE]\n\n"
    private val expected =
        listOf(SseEvent("4", null, "é1"), SseEvent(null, "error", "two\nthree"), SseEvent(null, null, "[DONE]"))

    // Guards against events that depend on how the network splits the bytes.
    @Property
    fun `events do not depend on how the bytes are split`(
        @ForAll @Size(max = 20) splitPoints: List<Int>,
    ) {
        val bytes = text.encodeToByteArray()
        val bounds = (splitPoints.map { it.mod(bytes.size) } + 0 + bytes.size).distinct().sorted()
        val reader = SseReader()
        val events =
            bounds.zipWithNext().flatMap { (from, to) ->
                checkNotNull(reader.feed(bytes.copyOfRange(from, to)))
            }
        expectThat(events).isEqualTo(expected)
    }

    // Guards against an exception or unbounded memory on arbitrary input.
    @Property
    fun `arbitrary bytes never throw and events stay bounded`(
        @ForAll @Size(max = 50) parts: List<
            @Size(max = 40)
            ByteArray,
        >,
        @ForAll @ByteRange filler: Byte,
    ) {
        val reader = SseReader(maxEventBytes = 64)
        for (part in parts) {
            val events = reader.feed(part + filler) ?: break
            events.forEach { expectThat(it.data.length).isLessThan(200) }
        }
    }

    @Test
    fun `the reader fails permanently after an event over the limit`() {
        val reader = SseReader(maxEventBytes = 10)
        expectThat(reader.feed("data: 1\n\n".encodeToByteArray())).isEqualTo(listOf(SseEvent(null, null, "1")))
        expectThat(reader.feed("data: 123456".encodeToByteArray())).isNull()
        expectThat(reader.feed("\n\n".encodeToByteArray())).isNull()
    }

    @Test
    fun `a partial event is not delivered`() {
        val reader = SseReader()
        expectThat(reader.feed("data: 1\n\ndata: 2\n".encodeToByteArray())!!.map { it.data }).containsExactly("1")
        expectThat(reader.hasPartialEvent).isEqualTo(true)
    }
}
