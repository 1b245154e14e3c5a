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
    private val firstRegister = StoreClaimRegister(store)
    private val secondRegister = StoreClaimRegister(store)
    private val outcome = CallOutcome(200, "application/json", "e30=")

    private suspend fun StoreClaimRegister.claim(
        key: String = "k",
        digest: String = "d",
        customer: CustomerId? = CustomerId("c"),
    ): ClaimResult = acquire(customer, RouteId("r"), key, digest)

    // Guards against a call that runs twice because two instances claim it at the same time.
    @Test
    fun `only one of several concurrent claims is acquired, and each register uses a single lease`() =
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
                                        firstRegister
                                    } else {
                                        secondRegister
                                    }
                                ).claim("k$round")
                            }
                        }.awaitAll()
                expectThat(results.count { it is ClaimResult.Acquired }).isEqualTo(1)
                expectThat(results.count { it == ClaimResult.Existing(null) }).isEqualTo(7)
            }
            expectThat(store.leasesGranted).isEqualTo(2)
        }

    // Guards against refusing a call, or running it twice, when the store's response to the claim is lost.
    @Test
    fun `a lost response and a lost request are resolved by reading the key back`() =
        runBlocking<Unit> {
            store.writeFaults.add(Fault.LOSE_ANSWER)
            expectThat(firstRegister.claim("a")).isA<ClaimResult.Acquired>()
            store.writeFaults.add(Fault.LOSE_REQUEST)
            store.failingReads = 1
            expectThat(firstRegister.claim("b")).isA<ClaimResult.Acquired>()
            expectThat(secondRegister.claim("a")).isEqualTo(ClaimResult.Existing(null))
            expectThat(secondRegister.claim("b")).isEqualTo(ClaimResult.Existing(null))
        }

    // Guards against treating another instance's claim as acquired after a lost response.
    @Test
    fun `a write with an unknown result that conflicts with another claim does not acquire it`() =
        runBlocking<Unit> {
            firstRegister.claim()
            store.writeFaults.add(Fault.LOSE_ANSWER)
            expectThat(secondRegister.claim()).isEqualTo(ClaimResult.Existing(null))
            // Guards against "unavailable" for a call claimed by another instance, because its route may then run it.
            store.failingReads = 4
            expectThat(secondRegister.claim()).isEqualTo(ClaimResult.Existing(null))
        }

    @Test
    fun `a store that rejects writes makes the claim unavailable`() =
        runBlocking<Unit> {
            store.writeFaults.add(Fault.UNAVAILABLE)
            expectThat(firstRegister.claim()).isA<ClaimResult.Unavailable>()
            store.writeFaults.add(Fault.LOSE_ANSWER)
            store.failingReads = 4
            expectThat(firstRegister.claim()).isA<ClaimResult.Unavailable>()
        }

    @Test
    fun `a repeat gets the stored response and another request digest is a mismatch`() =
        runBlocking<Unit> {
            val claim = (firstRegister.claim() as ClaimResult.Acquired).claim
            store.writeFaults.add(Fault.LOSE_ANSWER)
            claim.complete(outcome)
            expectThat(secondRegister.claim()).isEqualTo(ClaimResult.Existing(outcome))
            expectThat(secondRegister.claim(digest = "other")).isEqualTo(ClaimResult.Mismatch)
            expectThat(secondRegister.claim(customer = null)).isA<ClaimResult.Acquired>()
        }

    // Guards against a released claim that is acquired twice or overwritten by its previous holder.
    @Test
    fun `a released claim is acquired by exactly one caller`() =
        runBlocking<Unit> {
            val claim = (firstRegister.claim() as ClaimResult.Acquired).claim
            claim.release()
            val results =
                listOf(secondRegister, firstRegister, secondRegister)
                    .map {
                        async(Dispatchers.Default) { it.claim() }
                    }.awaitAll()
            expectThat(results.count { it is ClaimResult.Acquired }).isEqualTo(1)
            claim.complete(outcome)
            expectThat(firstRegister.claim()).isEqualTo(ClaimResult.Existing(null))
        }
}
