package lacewingweir.transport.http

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

internal class HeldBytesTest {
    private var nowNanos = 0L
    private val held = HeldBytes(maxBytes = 1_000_000, fullStallMillis = 4_000) { nowNanos }
    private val ended = ArrayList<String>()

    private fun open(name: String) = held.open { ended += name }

    private fun HeldBytes.Response.fill() {
        while (hasRoom()) add(10_000)
    }

    private fun pass(millis: Long) {
        nowNanos += millis * 1_000_000
    }

    /** Guards against streams of slow callers that use up all memory before others begin. */
    @Test
    fun `streams leave room for others, and the total stays bounded`() {
        val responses = (1..20).map { open("$it").apply { fill() } }
        expectThat(responses.first().bytes).isEqualTo(500_000)
        expectThat(held.figures.bytes < 1_000_000 + 20 * HeldBytes.GUARANTEED_BYTES).isTrue()
        responses.first().read(500_000)
        expectThat(responses.first().hasRoom()).isTrue()
    }

    /** Guards against a caller that reads and is cut off in favour of one that doesn't. */
    @Test
    fun `a complete response ends the one that is not read`() {
        val unread = open("unread").apply { add(400_000) }
        pass(500)
        val reading = open("reading").apply { add(500_000) }
        val next = open("next")
        expectThat(next.hasRoomFor(300_000)).isFalse()
        next.makeRoom(0)
        expectThat(ended).isEqualTo(arrayListOf())
        pass(500)
        reading.read(16_000)
        next.makeRoom(500)
        next.makeRoom(500)
        expectThat(ended).containsExactly("unread")
        expectThat(next.hasRoomFor(300_000)).isTrue()
        unread.read(16_000)
        expectThat(held.figures).isEqualTo(HeldFigures(484_000, 1, 484_000, 1))
    }

    /** Guards against a place of memory for a caller that takes minutes while others wait for it. */
    @Test
    fun `a complete response that has waited long enough ends the one that is read for the longest time`() {
        val slow = open("slow").apply { add(900_000) }
        pass(900)
        val fast = open("fast").apply { add(90_000) }
        pass(900)
        slow.read(1_000)
        fast.read(1_000)
        val next = open("next")
        next.makeRoom(900)
        expectThat(ended).isEqualTo(arrayListOf())
        next.makeRoom(1_000)
        expectThat(ended).containsExactly("slow")
    }

    /** Guards against a response that is ended for want of room though it holds nothing. */
    @Test
    fun `a head without a body holds nothing`() {
        open("head").add(0)
        pass(900)
        open("slow").add(900_000)
        expectThat(held.figures.responses).isEqualTo(1)
        open("next").makeRoom(1_000)
        expectThat(ended).containsExactly("slow")
    }
}
