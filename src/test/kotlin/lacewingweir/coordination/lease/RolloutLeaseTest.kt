package lacewingweir.coordination.lease

import kotlinx.coroutines.runBlocking
import lacewingweir.coordination.store.ClusterStore
import lacewingweir.coordination.store.CommitResult
import lacewingweir.coordination.store.StoreResult
import lacewingweir.coordination.store.StoreTransaction
import lacewingweir.state.time.SuspendAwareClock
import lacewingweir.testing.UnusedStore
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

internal class RolloutLeaseTest {
    private var monotonic = 0L
    private var wall = 0L
    private val store = FakeStore()
    private val lease =
        RolloutLease(store, SuspendAwareClock({ monotonic }, { wall }), "rollout", "a", ttlMillis = 3_000)

    private class FakeStore : ClusterStore by UnusedStore {
        var commitResult: StoreResult<CommitResult> = StoreResult.Ok(CommitResult.Committed(41))
        var renewalResult: StoreResult<Boolean> = StoreResult.Ok(true)
        var leasesEnded = 0

        override suspend fun commit(transaction: StoreTransaction) = commitResult

        override suspend fun grantLease(ttlMillis: Long) = StoreResult.Ok(7L)

        override suspend fun renewLease(leaseId: Long) = renewalResult

        override suspend fun endLease(leaseId: Long): StoreResult<Unit> {
            leasesEnded++
            return StoreResult.Ok(Unit)
        }
    }

    @Test
    fun `the fencing token is the revision of the acquisition`(): Unit =
        runBlocking {
            expectThat(lease.acquire()).isTrue()
            expectThat(lease.fencingToken()).isEqualTo(41)
        }

    @Test
    fun `a conflicting commit leaves the lease unheld and ends the store lease`(): Unit =
        runBlocking {
            store.commitResult = StoreResult.Ok(CommitResult.Conflict)
            expectThat(lease.acquire()).isFalse()
            expectThat(lease.fencingToken()).isNull()
            expectThat(store.leasesEnded).isEqualTo(1)
        }

    /** The commit may have taken effect. Ending the store lease prevents a key without a holder. */
    @Test
    fun `an acquisition without a response leaves the lease unheld and ends the store lease`(): Unit =
        runBlocking {
            store.commitResult = StoreResult.Unknown("answer lost")
            lease.acquire()
            expectThat(lease.fencingToken()).isNull()
            expectThat(store.leasesEnded).isEqualTo(1)
        }

    @Test
    fun `commands stop before a lease that was not renewed can expire`(): Unit =
        runBlocking {
            lease.acquire()
            store.renewalResult = StoreResult.Unknown("store away")
            monotonic += 1_900
            lease.renew()
            expectThat(lease.fencingToken()).isNull()
        }

    /** An instance that resumes after a suspension must renew the lease before it sends commands. */
    @Test
    fun `a holder that resumes after a suspension sends no commands`(): Unit =
        runBlocking {
            lease.acquire()
            wall += 5_000
            expectThat(lease.fencingToken()).isNull()
        }

    @Test
    fun `a lease that the store has ended is discarded`(): Unit =
        runBlocking {
            lease.acquire()
            store.renewalResult = StoreResult.Ok(false)
            lease.renew()
            expectThat(lease.isHeld).isFalse()
        }
}
