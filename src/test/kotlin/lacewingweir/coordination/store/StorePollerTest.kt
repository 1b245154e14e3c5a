package lacewingweir.coordination.store

import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.prometheus.metrics.model.snapshots.CounterSnapshot
import lacewingweir.testing.ManualTimers
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

internal class StorePollerTest {
    private val store = FakeConfigStore()
    private val timers = ManualTimers()
    private val registry = PrometheusRegistry()
    private var pending = false
    private val poller = StorePoller(store, timers, timers, { pending }, registry)
    private val seen = ArrayList<String>()
    private val proofs = ArrayList<Long>()

    init {
        poller.onEntry { seen.add(it.value.decodeToString()) }
        poller.onSuccess { proofs.add(it) }
    }

    private fun regressions(): Double =
        registry
            .scrape()
            .filterIsInstance<CounterSnapshot>()
            .first { it.metadata.name == "store_regressions" }
            .dataPoints
            .sumOf { it.value }

    @Test
    fun `changes are handed over once, about a second apart, twice as often while a change is pending`() {
        store.put("/lw/a", "1".toByteArray())
        poller.start()
        timers.advance(10_000)
        expectThat(seen).containsExactly("1")
        expectThat(proofs.size).isGreaterThan(8).isLessThan(13)
        store.put("/lw/a", "2".toByteArray())
        store.put("/claims/x", "3".toByteArray())
        pending = true
        proofs.clear()
        timers.advance(10_000)
        expectThat(seen).containsExactly("1", "2")
        expectThat(proofs.size).isGreaterThan(16).isLessThan(25)
    }

    // Guards against an instance that misses what a restored store holds, since its revisions start lower.
    @Test
    fun `a restored store is read again as a whole and counted`() {
        store.put("/lw/a", "old".toByteArray())
        val copy = store.copy()
        store.put("/lw/a", "new".toByteArray())
        poller.start()
        timers.advance(100)
        var regressed = false
        poller.onRegression { regressed = true }
        store.restore(copy)
        timers.advance(1_200)
        expectThat(regressed).isTrue()
        expectThat(seen).containsExactly("new", "old")
        expectThat(regressions()).isEqualTo(1.0)
    }

    // Guards against a herd of polls at a store in trouble, and against a proof from a poll that failed.
    @Test
    fun `failures give no proof and back off, and the store's return is noticed within four seconds`() {
        poller.start()
        timers.advance(10)
        store.down = true
        proofs.clear()
        timers.advance(30_000)
        expectThat(proofs.size).isEqualTo(0)
        expectThat(poller.storeUnreachable).isTrue()
        store.down = false
        timers.advance(4_400)
        expectThat(poller.storeUnreachable).isFalse()
    }
}
