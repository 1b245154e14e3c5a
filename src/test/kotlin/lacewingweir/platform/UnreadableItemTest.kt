package lacewingweir.platform

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import lacewingweir.testing.eventually
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against an item of the store that ends an instance's view of all others, also after its restart. */
internal class UnreadableItemTest {
    private val unreadable =
        listOf(
            "[".repeat(MAX_VALUE_BYTES).encodeToByteArray(),
            """{"a":""".repeat(SMALL_BYTES / 5).encodeToByteArray(),
            """{"service":"engine","models":${"[{\"a\":".repeat(SMALL_BYTES / 6)}""".encodeToByteArray(),
            "[0${",0".repeat(SMALL_BYTES)}]".encodeToByteArray(),
            """{"slots":${"9".repeat(SMALL_BYTES)}}""".encodeToByteArray(),
            ByteArray(SMALL_BYTES) { -1 },
            ByteArray(0),
        )

    private fun RouterFleet.writeUnreadableItems() {
        unreadable.forEachIndexed { n, value ->
            store.write("servers/other-$n", value)
            store.write("lacewingweir/instances/other-$n", value.copyOf(minOf(value.size, SMALL_BYTES)))
            store.write("op/version/other-$n", value.copyOf(minOf(value.size, SMALL_BYTES)))
        }
        store.write(
            "servers/line\nbreak",
            """{"service":"desk","address":"127.0.0.1:1","zone":"z1","slots":4,
            "state":"ready"}""",
        )
    }

    /** Checks that the configuration with the given [number], which has no customer's key but k1, is in force. */
    private suspend fun RouterFleet.expectInForce(number: Int) {
        store.write(
            "op/config",
            RouterFleet.CONFIG.replace("\"version\":1,", "\"version\":$number,").replace("\"k2\"", ""),
        )
        eventually("configuration $number is in force") { lookUp(0, "body", key = "k2").status == 401 }
        expectThat(lookUp(0, "body").status).isEqualTo(200)
    }

    @Test
    fun `a configuration comes into force beside items that overflow the parser`(): Unit =
        runBlocking {
            RouterFleet(size = 1, engines = 1, desks = 1).use { fleet ->
                fleet.start()
                fleet.writeUnreadableItems()
                delay(TWO_WATCHES_MILLIS)
                fleet.expectInForce(number = 2)
            }
        }

    @Test
    fun `an instance starts beside items that overflow the parser`(): Unit =
        runBlocking {
            RouterFleet(size = 1, engines = 1, desks = 1).use { fleet ->
                fleet.writeUnreadableItems()
                fleet.start()
                fleet.expectInForce(number = 2)
            }
        }

    /** Guards against an unreadable configuration that takes the last good one out of force. */
    @Test
    fun `the last good configuration holds beside one that overflows the parser`(): Unit =
        runBlocking {
            RouterFleet(size = 1, engines = 1, desks = 1).use { fleet ->
                fleet.start()
                fleet.store.write("op/config", """{"version":2,"routes":${"[".repeat(MAX_VALUE_BYTES)}""")
                delay(TWO_WATCHES_MILLIS)
                expectThat(fleet.lookUp(0, "body").status).isEqualTo(200)
                fleet.expectInForce(number = 3)
            }
        }

    private companion object {
        /** The largest value that the store takes. */
        const val MAX_VALUE_BYTES = 1_000_000
        const val SMALL_BYTES = 30_000

        /** Two intervals of the watches of the store. */
        const val TWO_WATCHES_MILLIS = 1_600L
    }
}
