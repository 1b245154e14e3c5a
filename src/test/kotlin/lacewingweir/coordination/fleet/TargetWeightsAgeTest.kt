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
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.WeightsNumber
import lacewingweir.state.time.SuspendAwareClock
import lacewingweir.testing.ManualTimers
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull

/**
 * Guards against requests on outdated weights from instances that learned late of new target weights.
 *
 * In a benchmark (small Petra, `47c830ef`), an instance that was frozen while weights were set dated them from the
 * moment at which it woke, and used the older weights for 8.7 s.
 */
internal class TargetWeightsAgeTest {
    private val timers = ManualTimers()
    private val clock = SuspendAwareClock(timers, { timers.nowMillis() })
    private val proof = StoreContactProof(clock)
    private val directory = FleetDirectory(::decode, clock, timers, proof)

    private fun decode(
        key: String,
        value: ByteArray,
    ): FleetUpdate? =
        if (key != TARGET_KEY) {
            null
        } else {
            FleetUpdate.TargetWeights(MODEL, WeightsNumber(value.decodeToString().toLong()))
        }

    /** Lists [items], answers successive watches with the results of [steps], then ends the mirror. */
    private class ScriptedStore(
        private val items: List<StoreItem>,
        vararg steps: () -> WatchResult,
    ) : ClusterStore {
        private val remaining = ArrayDeque(steps.toList())

        override suspend fun range(prefix: String) = StoreResult.Ok(StoreRange(items, 5))

        override suspend fun watch(
            prefix: String,
            revision: Long,
            waitMillis: Long,
        ): WatchResult = remaining.removeFirstOrNull()?.invoke() ?: throw CancellationException(END)

        override suspend fun commit(transaction: StoreTransaction): StoreResult<CommitResult> =
            StoreResult.Unknown("unused")

        override suspend fun grantLease(ttlMillis: Long): StoreResult<Long> = StoreResult.Unknown("unused")

        override suspend fun renewLease(leaseId: Long): StoreResult<Boolean> = StoreResult.Unknown("unused")

        override suspend fun endLease(leaseId: Long): StoreResult<Unit> = StoreResult.Unknown("unused")
    }

    private fun mirror(
        items: List<StoreItem>,
        vararg steps: () -> WatchResult,
    ) = runBlocking {
        try {
            StoreMirror(ScriptedStore(items, *steps), "", WAIT_MILLIS, clock, proof, directory).run()
        } catch (e: CancellationException) {
            if (e.message != END) throw e
        }
    }

    private fun change(weights: Int) = StoreChange(TARGET_KEY, 5L + weights, weights.toString().encodeToByteArray())

    private fun item(weights: Int) = change(weights).let { StoreItem(it.key, checkNotNull(it.value), it.revision) }

    /** Returns the time at which an engine with [running] weights became outdated according to the directory. */
    private fun outdatedSince(running: Long) =
        directory.snapshot.weights[MODEL]
            ?.outdatedSince(WeightsNumber(running))
            ?.monotonicMillis

    @Test
    fun `a frozen instance dates new weights back to its last contact, not to the moment at which it woke`() {
        var setAt = 0L
        mirror(
            listOf(item(2)),
            {
                timers.advance(400)
                setAt = timers.nowMillis()
                timers.advance(3_700)
                WatchResult.Changes(listOf(change(3)), 8)
            },
        )
        expectThat(outdatedSince(2)).isNotNull().isLessThanOrEqualTo(setAt)
    }

    @Test
    fun `a restarted instance doesn't date weights that it finds from its start`() {
        val setAt = timers.nowMillis()
        timers.advance(2_500)
        mirror(listOf(item(3)))
        expectThat(outdatedSince(2)).isNotNull().isLessThanOrEqualTo(setAt)
    }

    private companion object {
        val MODEL = ModelName("m")
        const val TARGET_KEY = "weights"
        const val WAIT_MILLIS = 1_500L
        const val END = "end of the script"
    }
}
