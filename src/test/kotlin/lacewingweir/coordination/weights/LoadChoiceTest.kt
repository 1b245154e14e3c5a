package lacewingweir.coordination.weights

import lacewingweir.state.id.WeightsNumber
import lacewingweir.testing.FLEET_MODEL
import lacewingweir.testing.engineFleet
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty

internal class LoadChoiceTest {
    /** Guards against engines that start again with outdated weights and take their turn behind running answers. */
    @Test
    fun `idle engines are loaded first and beside a full share`() {
        val waiting = listOf(engine("a", running = 5), engine("b", running = 0))
        expectThat(choose(waiting, maxLoads = 3, LoadsInProgress(busy = 3, idle = 0))).containsExactly("b")
        expectThat(choose(waiting, maxLoads = 3, LoadsInProgress(busy = 2, idle = 0))).containsExactly("b", "a")
    }

    @Test
    fun `loads of idle engines take no place of others`() {
        val waiting = listOf(engine("a", running = 5))
        expectThat(choose(waiting, maxLoads = 3, LoadsInProgress(busy = 0, idle = 5))).containsExactly("a")
    }

    @Test
    fun `half of the engines keep serving while time is left`() {
        val waiting = List(12) { engine("e$it", running = 0) }
        val chosen = choose(waiting, maxLoads = 3, LoadsInProgress(busy = 0, idle = 0))
        expectThat(chosen).containsExactly(List(6) { "e$it" })
        expectThat(choose(waiting, maxLoads = 3, LoadsInProgress(busy = 3, idle = 3))).isEmpty()
    }

    @Test
    fun `engines near the end of their time go before less busy ones`() {
        val waiting = listOf(engine("a", running = 1), engine("b", running = 5, remainingMillis = 500))
        expectThat(choose(waiting, maxLoads = 1, LoadsInProgress(busy = 0, idle = 0))).containsExactly("b")
    }

    /** Guards against idle engines that take all places while calls wait at engines whose time ends. */
    @Test
    fun `engines near the end of their time go before idle ones`() {
        val idle = List(8) { engine("idle$it", running = 0) }
        val urgent = List(4) { engine("urgent$it", running = 5, remainingMillis = 500) }
        val chosen = choose(idle + urgent, maxLoads = 6, LoadsInProgress(busy = 0, idle = 0))
        expectThat(chosen).containsExactly(List(4) { "urgent$it" } + listOf("idle0", "idle1"))
    }

    private fun choose(
        waiting: List<OutdatedEngine>,
        maxLoads: Int,
        loads: LoadsInProgress,
    ): List<String> = chooseLoads(waiting, engines = 12, maxLoads, loads).map { it.engine.id.value }

    private fun engine(
        id: String,
        running: Int,
        remainingMillis: Long = 5_000,
    ): OutdatedEngine {
        val entry = engineFleet(id).endpoints.values.single()
        return OutdatedEngine(entry, FLEET_MODEL, WeightsNumber(2), remainingMillis, running)
    }
}
