package lacewingweir.coordination.fleet

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.coroutines.yield
import lacewingweir.coordination.store.ClusterStore
import lacewingweir.coordination.store.CommitResult
import lacewingweir.coordination.store.StoreChange
import lacewingweir.coordination.store.StoreItem
import lacewingweir.coordination.store.StoreRange
import lacewingweir.coordination.store.StoreResult
import lacewingweir.coordination.store.StoreTransaction
import lacewingweir.coordination.store.WatchResult
import lacewingweir.state.time.SuspendAwareClock
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

internal class StoreMirrorTest {
    private var monotonic = 0L
    private var wall = 1_000_000L
    private val clock = SuspendAwareClock({ monotonic }, { wall })
    private val proof = StoreContactProof(clock)
    private val events = ArrayList<String>()

    private val listener =
        object : MirrorListener {
            override fun onListed(changes: List<StoreChange>) {
                events += "listed ${changes.joinToString { it.key }}"
            }

            override fun onChanged(changes: List<StoreChange>) {
                events += "changed ${changes.joinToString { it.key }}"
            }

            override fun onContactRestored() {
                events += "regained"
            }
        }

    /** Reports a change to each watch after [responseMillis], as in a fleet that changes all the time. */
    private inner class BusyStore(
        private val responseMillis: Long,
    ) : ClusterStore by ScriptedStore() {
        var watches = 0

        override suspend fun watch(
            prefix: String,
            revision: Long,
            waitMillis: Long,
        ): WatchResult {
            watches++
            delay(responseMillis)
            advance(responseMillis)
            return WatchResult.Changes(listOf(StoreChange("a", revision + 1, ByteArray(0))), revision + 1)
        }
    }

    /** Answers successive watches with the results of [steps], then ends the mirror by cancellation. */
    private inner class ScriptedStore(
        vararg steps: () -> WatchResult,
    ) : ClusterStore {
        private val remaining = ArrayDeque(steps.toList())
        val watchedRevisions = ArrayList<Long>()

        override suspend fun range(prefix: String) =
            StoreResult.Ok(StoreRange(listOf(StoreItem("k", ByteArray(0), 5)), 5))

        override suspend fun watch(
            prefix: String,
            revision: Long,
            waitMillis: Long,
        ): WatchResult {
            watchedRevisions += revision
            return remaining.removeFirstOrNull()?.invoke() ?: throw CancellationException("end of the script")
        }

        override suspend fun commit(transaction: StoreTransaction): StoreResult<CommitResult> =
            StoreResult.Unknown("unused")

        override suspend fun grantLease(ttlMillis: Long): StoreResult<Long> = StoreResult.Unknown("unused")

        override suspend fun renewLease(leaseId: Long): StoreResult<Boolean> = StoreResult.Unknown("unused")

        override suspend fun endLease(leaseId: Long): StoreResult<Unit> = StoreResult.Unknown("unused")
    }

    private fun runMirror(store: ScriptedStore) =
        runBlocking {
            try {
                StoreMirror(store, "", 1_500, clock, proof, listener).run()
            } catch (e: CancellationException) {
                expectThat(e.message).isEqualTo("end of the script")
            }
        }

    private fun advance(millis: Long) {
        monotonic += millis
        wall += millis
    }

    @Test
    fun `a watch without changes for its full wait proves the end of the wait`() {
        runMirror(
            ScriptedStore({
                advance(1_510)
                WatchResult.Changes(emptyList(), 5)
            }),
        )
        expectThat(proof.ageMillis()).isEqualTo(10)
    }

    /** A delayed answer proves nothing about changes after the call was sent. */
    @Test
    fun `a watch with changes proves the time when it was sent`() {
        runMirror(
            ScriptedStore({
                advance(900)
                WatchResult.Changes(listOf(StoreChange("a", 6, ByteArray(0))), 6)
            }),
        )
        expectThat(proof.ageMillis()).isEqualTo(900)
    }

    @Test
    fun `items are listed again after the history was compacted`() {
        val store = ScriptedStore({ WatchResult.HistoryGone })
        runMirror(store)
        expectThat(events).containsExactly("listed k", "listed k")
    }

    @Test
    fun `watching continues from the last revision and reports restored contact after a failure`() {
        val store =
            ScriptedStore(
                { WatchResult.Changes(listOf(StoreChange("a", 9, null)), 9) },
                { WatchResult.Failed("no answer") },
                { WatchResult.Changes(emptyList(), 9) },
            )
        runMirror(store)
        expectThat(store.watchedRevisions).containsExactly(5L, 9L, 9L, 9L)
        expectThat(events).containsExactly("listed k", "changed a", "regained")
    }

    /** The monotonic clock stops while the machine is suspended, so alone it would make an old proof look recent. */
    @Test
    fun `the age of the proof includes a suspension and never decreases by a clock step`() {
        proof.prove(clock.now())
        wall += 7_000
        expectThat(proof.ageMillis()).isEqualTo(7_000)
        wall -= 60_000
        monotonic += 400
        expectThat(proof.ageMillis()).isEqualTo(400)
    }

    /** An instance whose mirror has ended would receive no further changes. */
    @Test
    fun `the mirror continues after a failure to apply a change`() {
        val store =
            ScriptedStore(
                { error("one bad item") },
                { WatchResult.Changes(listOf(StoreChange("a", 6, null)), 6) },
            )
        runMirror(store)
        expectThat(events).containsExactly("listed k", "regained", "listed k", "changed a")
    }

    /** Guards against instances that all call the store for each change, until it refuses calls beyond its rate. */
    @Test
    fun `changes in quick succession are gathered`() {
        val store = BusyStore(responseMillis = 10)
        runBlocking { withTimeoutOrNull(1_000) { StoreMirror(store, "", 1_500, clock, proof, listener).run() } }
        expectThat(store.watches).isLessThan(6)
    }

    /** Guards against a mirror that requests the same unusable changes until the store has discarded them. */
    @Test
    fun `items are listed again if the changes can't be read`() {
        runMirror(ScriptedStore({ WatchResult.Unreadable("too large") }))
        expectThat(events).containsExactly("listed k", "listed k")
    }

    /** Answers a watch without a wait at once, and any other one after the test. */
    private inner class WaitingStore(
        private val atOnce: () -> WatchResult,
    ) : ClusterStore by ScriptedStore() {
        var checks = 0

        override suspend fun watch(
            prefix: String,
            revision: Long,
            waitMillis: Long,
        ): WatchResult {
            if (waitMillis > 0) awaitCancellation()
            checks++
            return atOnce()
        }
    }

    /** Runs a mirror whose proof is a second old, and then [test]. */
    private fun withOldProof(
        store: ClusterStore,
        test: suspend CoroutineScope.(StoreMirror) -> Unit,
    ) = runBlocking {
        val mirror = StoreMirror(store, "", 1_500, clock, proof, listener)
        val running = launch { mirror.run() }
        yield()
        advance(1_000)
        test(mirror)
        running.cancel()
    }

    /** Guards against decisions on a view of a second ago, in which something may have changed and changed back. */
    @Test
    fun `a proof of now needs a call that begins later`() {
        val store = WaitingStore { WatchResult.Changes(emptyList(), 5) }
        withOldProof(store) { mirror ->
            expectThat(proof.ageMillis()).isEqualTo(1_000)
            expectThat(mirror.proveCurrent()).isTrue()
            expectThat(proof.ageMillis()).isEqualTo(0)
            expectThat(store.checks).isEqualTo(1)
        }
    }

    @Test
    fun `changes that a proof of now finds are applied before it`() {
        withOldProof(WaitingStore { WatchResult.Changes(listOf(StoreChange("b", 6, null)), 6) }) { mirror ->
            expectThat(mirror.proveCurrent()).isTrue()
            expectThat(events).containsExactly("listed k", "changed b")
        }
    }

    /** Guards against calls of an instance to the store for each of many streams that are taken up at once. */
    @Test
    fun `callers at the same time share the calls for a proof of now`() {
        val store =
            WaitingStore {
                advance(10)
                WatchResult.Changes(emptyList(), 5)
            }
        withOldProof(store) { mirror ->
            val proved = List(100) { async { mirror.proveCurrent() } }.awaitAll()
            expectThat(proved.all { it }).isTrue()
            expectThat(store.checks).isLessThan(3)
        }
    }

    @Test
    fun `a store that doesn't answer or has lost its history proves nothing`() {
        withOldProof(WaitingStore { WatchResult.Failed("no answer") }) { expectThat(it.proveCurrent()).isFalse() }
        withOldProof(WaitingStore { WatchResult.HistoryGone }) { expectThat(it.proveCurrent()).isFalse() }
    }

    @Test
    fun `there is no proof before the first answer`() {
        expectThat(proof.ageMillis()).isGreaterThan(1_000_000_000)
    }
}
