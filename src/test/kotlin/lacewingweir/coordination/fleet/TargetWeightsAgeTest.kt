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
import lacewingweir.state.fleet.TargetAge
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.WeightsNumber
import lacewingweir.state.time.SuspendAwareClock
import lacewingweir.testing.ManualTimers
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
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

    private fun tell(
        peer: String,
        weights: Int,
        setAt: Long,
    ) = directory.onTargetAges(peer, listOf(TargetAge(MODEL, weights.toLong(), timers.nowMillis() - setAt)))

    @Test
    fun `a restarted instance takes the age of new weights from its peers`() {
        val setAt = timers.nowMillis()
        timers.advance(6_000)
        mirror(listOf(item(3)))
        tell("peer", weights = 3, setAt)
        timers.advance(250)
        tell("peer", weights = 3, setAt)
        expectThat(outdatedSince(2)).isNotNull().isIn(setAt - ALLOWANCE_MILLIS..setAt)
    }

    @Test
    fun `a restarted instance takes the age of a target before the newest one from its peers`() {
        val setAt = timers.nowMillis()
        timers.advance(6_000)
        mirror(listOf(item(3)))
        repeat(2) {
            tell("peer", weights = 2, setAt)
            tell("peer", weights = 3, setAt + 5_000)
            timers.advance(250)
        }
        expectThat(outdatedSince(1)).isNotNull().isIn(setAt - ALLOWANCE_MILLIS..setAt)
        expectThat(outdatedSince(2)).isNotNull().isIn(setAt + 5_000 - ALLOWANCE_MILLIS..setAt + 5_000)
        expectThat(directory.snapshot.weights[MODEL]?.weights).isEqualTo(WeightsNumber(3))
    }

    /** Each instance knows a moment before which the weights weren't set, so the latest one is the nearest. */
    @ParameterizedTest
    @ValueSource(ints = [6, 60])
    fun `the latest of the moments that peers have observed counts`(peers: Int) {
        val setAt = timers.nowMillis() + 2_000
        timers.advance(3_000)
        mirror(listOf(item(3)))
        repeat(2) {
            repeat(peers) { peer -> tell("peer-$peer", weights = 3, setAt - 10L * (peer + 1)) }
            timers.advance(250)
        }
        expectThat(outdatedSince(2)).isNotNull().isIn(setAt - 10 - ALLOWANCE_MILLIS..setAt)
    }

    /** Guards against ages that have become too low while their datagrams waited for a frozen instance. */
    @Test
    fun `ages that waited while the instance was frozen never make new weights younger`() {
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
        repeat(3) { queued ->
            directory.onTargetAges("peer", listOf(TargetAge(MODEL, 3, 250L * queued)))
            expectThat(outdatedSince(2)).isNotNull().isLessThanOrEqualTo(setAt)
        }
        timers.advance(250)
        tell("peer", weights = 3, setAt)
        expectThat(outdatedSince(2)).isNotNull().isLessThanOrEqualTo(setAt)
    }

    /** Guards against fleets that refuse all calls when weights are set as the store returns from an outage. */
    @Test
    fun `weights that all instances find after an outage of the store aren't dated back into it`() {
        mirror(
            listOf(item(2)),
            {
                timers.advance(6_000)
                WatchResult.Failed("outage")
            },
            { WatchResult.Changes(listOf(change(3)), 8) },
        )
        expectThat(outdatedSince(2)).isNotNull().isEqualTo(timers.nowMillis() - OUTAGE_AGE_MILLIS)
        expectThat(directory.observedTargetAges()).isEmpty()
    }

    @Test
    fun `an instance that was cut off from the store takes the age from peers that were not`() {
        val setAt = timers.nowMillis() + 200
        mirror(
            listOf(item(2)),
            {
                timers.advance(6_000)
                WatchResult.Failed("cut off")
            },
            { WatchResult.Changes(listOf(change(3)), 8) },
        )
        repeat(2) {
            tell("peer", weights = 3, setAt)
            timers.advance(250)
        }
        expectThat(outdatedSince(2)).isNotNull().isIn(setAt - ALLOWANCE_MILLIS..setAt)
    }

    /** An instance that starts while the store lacks its latest items sees a target being set that was set before. */
    @Test
    fun `a peer that saw weights set once more by a restored store doesn't make them younger`() {
        mirror(listOf(item(2)), { WatchResult.Changes(listOf(change(3)), 8) })
        val known = outdatedSince(2)
        timers.advance(5_000)
        val setAgainAt = timers.nowMillis()
        repeat(2) {
            timers.advance(250)
            tell("peer", weights = 3, setAgainAt)
        }
        expectThat(outdatedSince(2)).isEqualTo(known)
    }

    @Test
    fun `only observed ages are told, and only for a minute`() {
        mirror(listOf(item(2)))
        expectThat(directory.observedTargetAges()).isEmpty()
        directory.onChanged(listOf(change(3)))
        expectThat(directory.observedTargetAges()).containsExactly(TargetAge(MODEL, 3, 0))
        timers.advance(60_000)
        expectThat(directory.observedTargetAges()).isEmpty()
    }

    @Test
    fun `few ages are told while targets follow each other`() {
        mirror(listOf(item(1)))
        repeat(30) { directory.onChanged(listOf(change(it + 2))) }
        expectThat(directory.observedTargetAges()).hasSize(8)
    }

    private companion object {
        val MODEL = ModelName("m")
        const val TARGET_KEY = "weights"
        const val WAIT_MILLIS = 1_500L

        /** The age of weights that is assumed after an outage. */
        const val OUTAGE_AGE_MILLIS = 3_000L

        /** The time that a datagram may take. */
        const val ALLOWANCE_MILLIS = 50L
        const val END = "end of the script"
    }
}
