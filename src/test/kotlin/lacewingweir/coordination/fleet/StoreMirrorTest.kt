package lacewingweir.coordination.fleet

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.runBlocking
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
import strikt.assertions.isGreaterThan

internal class StoreMirrorTest {
    private var monotonic = 0L
    private var wall = 1_000_000L
    private val clock = SuspendAwareClock({ monotonic }, { wall })
    private val proof = ContactProof(clock)
    private val heard = ArrayList<String>()

    private val listener =
        object : MirrorListener {
            override fun onListed(changes: List<StoreChange>) {
                heard += "listed ${changes.joinToString { it.key }}"
            }

            override fun onChanged(changes: List<StoreChange>) {
                heard += "changed ${changes.joinToString { it.key }}"
            }

            override fun onContactRestored() {
                heard += "regained"
            }
        }

    /** Answers one watch after the other as told, then ends the mirror. */
    private inner class ScriptedStore(
        vararg steps: () -> WatchResult,
    ) : ClusterStore {
        private val left = ArrayDeque(steps.toList())
        val asked = ArrayList<Long>()

        override suspend fun range(prefix: String) =
            StoreResult.Ok(StoreRange(listOf(StoreItem("k", ByteArray(0), 5)), 5))

        override suspend fun watch(
            prefix: String,
            revision: Long,
            waitMillis: Long,
        ): WatchResult {
            asked += revision
            return left.removeFirstOrNull()?.invoke() ?: throw CancellationException("end of the script")
        }

        override suspend fun commit(transaction: StoreTransaction): StoreResult<CommitResult> =
            StoreResult.Unknown("unused")

        override suspend fun grantLease(ttlMillis: Long): StoreResult<Long> = StoreResult.Unknown("unused")

        override suspend fun renewLease(leaseId: Long): StoreResult<Boolean> = StoreResult.Unknown("unused")

        override suspend fun endLease(leaseId: Long): StoreResult<Unit> = StoreResult.Unknown("unused")
    }

    private fun play(store: ScriptedStore) =
        runBlocking {
            try {
                StoreMirror(store, "", 1_500, clock, proof, listener).run()
            } catch (e: CancellationException) {
                expectThat(e.message).isEqualTo("end of the script")
            }
        }

    private fun pass(millis: Long) {
        monotonic += millis
        wall += millis
    }

    @Test
    fun `a watch that waited in full without changes proves the moment of its end`() {
        play(
            ScriptedStore({
                pass(1_510)
                WatchResult.Changes(emptyList(), 5)
            }),
        )
        expectThat(proof.ageMillis()).isEqualTo(10)
    }

    /** An answer that was held up on its way proves nothing later than the moment of the call. */
    @Test
    fun `a watch with changes proves the moment at which it was sent`() {
        play(
            ScriptedStore({
                pass(900)
                WatchResult.Changes(listOf(StoreChange("a", 6, ByteArray(0))), 6)
            }),
        )
        expectThat(proof.ageMillis()).isEqualTo(900)
    }

    @Test
    fun `a lost history is replaced by a listing`() {
        val store = ScriptedStore({ WatchResult.HistoryGone })
        play(store)
        expectThat(heard).containsExactly("listed k", "listed k")
    }

    @Test
    fun `watching goes on behind the changes, and after a failure with a return of contact`() {
        val store =
            ScriptedStore(
                { WatchResult.Changes(listOf(StoreChange("a", 9, null)), 9) },
                { WatchResult.Failed("no answer") },
                { WatchResult.Changes(emptyList(), 9) },
            )
        play(store)
        expectThat(store.asked).containsExactly(5L, 9L, 9L, 9L)
        expectThat(heard).containsExactly("listed k", "changed a", "regained")
    }

    /** The steady clock of a suspended machine stands still, so what woke up would trust an old proof. */
    @Test
    fun `a suspension shows in the age of the proof and a stepped clock never makes it younger`() {
        proof.prove(clock.now())
        wall += 7_000
        expectThat(proof.ageMillis()).isEqualTo(7_000)
        wall -= 60_000
        monotonic += 400
        expectThat(proof.ageMillis()).isEqualTo(400)
    }

    /** An instance whose mirror has ended would never learn anything again. */
    @Test
    fun `the mirror outlives a failure to apply a change`() {
        val store =
            ScriptedStore(
                { error("one bad item") },
                { WatchResult.Changes(listOf(StoreChange("a", 6, null)), 6) },
            )
        play(store)
        expectThat(heard).containsExactly("listed k", "regained", "listed k", "changed a")
    }

    @Test
    fun `there is no proof before the first answer`() {
        expectThat(proof.ageMillis()).isGreaterThan(1_000_000_000)
    }
}
