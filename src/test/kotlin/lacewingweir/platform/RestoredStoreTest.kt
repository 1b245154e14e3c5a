package lacewingweir.platform

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import lacewingweir.testing.eventually
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Plays a store that comes back from an older copy and gives its revisions out again, on a fleet of instances. */
internal class RestoredStoreTest {
    private fun config(
        version: Int,
        keys: String,
    ) = RouterFleet.CONFIG
        .replace("\"version\":1,", "\"version\":$version,")
        .replace("\"apiKeys\":[\"k1\",\"k1b\"]", "\"apiKeys\":[$keys]")

    /** Guards against keys that stay valid because the change came at a revision that was known from before. */
    @Test
    fun `a key that is withdrawn after the store was restored is refused`(): Unit =
        runBlocking {
            RouterFleet(size = 3, engines = 2, desks = 1).use { fleet ->
                fleet.start()
                val copy = fleet.store.copy()
                repeat(30) { fleet.store.write("other", "$it") }
                delay(1_000)
                fleet.store.restore(copy)
                fleet.store.write("op/config", config(2, "\"k1b\""))
                repeat(3) { index ->
                    eventually("instance $index refuses the key") { fleet.lookUp(index, "b", key = "k1").status == 401 }
                    expectThat(fleet.lookUp(index, "b", key = "k1b").status).isEqualTo(200)
                }
            }
        }

    /** Guards against a withdrawal that is undone together with the store. */
    @Test
    fun `a key that was withdrawn before the store was restored stays refused`(): Unit =
        runBlocking {
            RouterFleet(size = 3, engines = 2, desks = 1).use { fleet ->
                fleet.start()
                val copy = fleet.store.copy()
                fleet.store.write("op/config", config(2, "\"k1b\""))
                eventually("the key is refused") { (0..2).all { fleet.lookUp(it, "b", key = "k1").status == 401 } }
                fleet.store.restore(copy)
                repeat(30) {
                    expectThat(fleet.lookUp(it % 3, "b", key = "k1").status).isEqualTo(401)
                    delay(100)
                }
            }
        }
}
