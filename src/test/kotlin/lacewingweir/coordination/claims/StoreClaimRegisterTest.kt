package lacewingweir.coordination.claims

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.RouteId
import lacewingweir.testing.MemoryConfigStore
import lacewingweir.testing.MemoryConfigStore.Fault
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo

internal class StoreClaimRegisterTest {
    private val store = MemoryConfigStore()
    private val first = StoreClaimRegister(store)
    private val second = StoreClaimRegister(store)
    private val answer = CallOutcome(200, "application/json", "e30=")

    private suspend fun StoreClaimRegister.claim(
        key: String = "k",
        digest: String = "d",
        customer: CustomerId? = CustomerId("c"),
    ): ClaimResult = acquire(customer, RouteId("r"), key, digest)

    // Guards against a call that runs twice because two instances claimed it at the same time.
    @Test
    fun `only one of many racing claims is acquired and all share a lease`() =
        runBlocking<Unit> {
            repeat(20) { round ->
                val results =
                    (1..8)
                        .map { n ->
                            async(Dispatchers.Default) {
                                (
                                    if (n % 2 ==
                                        0
                                    ) {
                                        first
                                    } else {
                                        second
                                    }
                                ).claim("k$round")
                            }
                        }.awaitAll()
                expectThat(results.count { it is ClaimResult.Acquired }).isEqualTo(1)
                expectThat(results.count { it == ClaimResult.Existing(null) }).isEqualTo(7)
            }
            expectThat(store.leasesGranted).isEqualTo(2)
        }

    // Guards against refusing a call, or running it twice, after the store's answer to the claim was lost.
    @Test
    fun `a lost answer and a lost request are settled by reading back`() =
        runBlocking<Unit> {
            store.writeFaults.add(Fault.LOSE_ANSWER)
            expectThat(first.claim("a")).isA<ClaimResult.Acquired>()
            store.writeFaults.add(Fault.LOSE_REQUEST)
            store.failingReads = 1
            expectThat(first.claim("b")).isA<ClaimResult.Acquired>()
            expectThat(second.claim("a")).isEqualTo(ClaimResult.Existing(null))
            expectThat(second.claim("b")).isEqualTo(ClaimResult.Existing(null))
        }

    // Guards against taking a claim of another instance for one's own after a lost answer.
    @Test
    fun `an unknown write that lost to another claim is not acquired`() =
        runBlocking<Unit> {
            first.claim()
            store.writeFaults.add(Fault.LOSE_ANSWER)
            expectThat(second.claim()).isEqualTo(ClaimResult.Existing(null))
            // Guards against "unavailable" for a call that another instance has claimed: its route may then run it.
            store.failingReads = 4
            expectThat(second.claim()).isEqualTo(ClaimResult.Existing(null))
        }

    @Test
    fun `a store that refuses writes makes the claim unavailable`() =
        runBlocking<Unit> {
            store.writeFaults.add(Fault.UNAVAILABLE)
            expectThat(first.claim()).isA<ClaimResult.Unavailable>()
            store.writeFaults.add(Fault.LOSE_ANSWER)
            store.failingReads = 4
            expectThat(first.claim()).isA<ClaimResult.Unavailable>()
        }

    @Test
    fun `a repeat gets the stored answer and another body is a mismatch`() =
        runBlocking<Unit> {
            val claim = (first.claim() as ClaimResult.Acquired).claim
            store.writeFaults.add(Fault.LOSE_ANSWER)
            claim.complete(answer)
            expectThat(second.claim()).isEqualTo(ClaimResult.Existing(answer))
            expectThat(second.claim(digest = "other")).isEqualTo(ClaimResult.Mismatch)
            expectThat(second.claim(customer = null)).isA<ClaimResult.Acquired>()
        }

    // Guards against a released claim that is taken over twice, and against its former holder overwriting the new one.
    @Test
    fun `a released claim is acquired once more`() =
        runBlocking<Unit> {
            val claim = (first.claim() as ClaimResult.Acquired).claim
            claim.release()
            val results = listOf(second, first, second).map { async(Dispatchers.Default) { it.claim() } }.awaitAll()
            expectThat(results.count { it is ClaimResult.Acquired }).isEqualTo(1)
            claim.complete(answer)
            expectThat(first.claim()).isEqualTo(ClaimResult.Existing(null))
        }
}
