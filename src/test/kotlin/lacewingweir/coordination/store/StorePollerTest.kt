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
    private var changePending = false
    private val poller = StorePoller(store, timers, timers, { changePending }, registry)
    private val receivedValues = ArrayList<String>()
    private val successTimes = ArrayList<Long>()

    init {
        poller.onEntry { receivedValues.add(it.value.decodeToString()) }
        poller.onSuccess { successTimes.add(it) }
    }

    private fun regressions(): Double =
        registry
            .scrape()
            .filterIsInstance<CounterSnapshot>()
            .first { it.metadata.name == "store_regressions" }
            .dataPoints
            .sumOf { it.value }

    @Test
    fun `each change is reported once, polls are about 1 s apart, and 500 ms while a change is pending`() {
        store.put("/lw/a", "1".toByteArray())
        poller.start()
        timers.advance(10_000)
        expectThat(receivedValues).containsExactly("1")
        expectThat(successTimes.size).isGreaterThan(8).isLessThan(13)
        store.put("/lw/a", "2".toByteArray())
        store.put("/claims/x", "3".toByteArray())
        changePending = true
        successTimes.clear()
        timers.advance(10_000)
        expectThat(receivedValues).containsExactly("1", "2")
        expectThat(successTimes.size).isGreaterThan(16).isLessThan(25)
    }

    // Guards against missing the entries of a restored store, whose revisions are lower than the last one received.
    @Test
    fun `a restored store is read again completely and counted`() {
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
        expectThat(receivedValues).containsExactly("new", "old")
        expectThat(regressions()).isEqualTo(1.0)
    }

    // Guards against overloading a failing store with polls, and against counting a failed poll as a proof of contact.
    @Test
    fun `failed polls give no proof of contact and back off, and recovery is detected within the maximum backoff`() {
        poller.start()
        timers.advance(10)
        store.down = true
        successTimes.clear()
        timers.advance(30_000)
        expectThat(successTimes.size).isEqualTo(0)
        expectThat(poller.storeUnreachable).isTrue()
        store.down = false
        timers.advance(4_400)
        expectThat(poller.storeUnreachable).isFalse()
    }
}
