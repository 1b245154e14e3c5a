package lacewingweir.state.rate

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue

/** Tests the accounting rules that keep the whole fleet within a customer's rate and burst. */
class LocalQuotaTest {
    private val rate = 100L * MICROS_PER_MILLI_IN_TOKEN_PER_SECOND

    private fun quota(tokens: Long = 1_000): LocalQuota =
        LocalQuota(0, LoanTerms(lendablePercent = 100)).apply {
            setBaseShare(1_000 * MICROS_PER_TOKEN, rate)
            bucket.addTokens(tokens * MICROS_PER_TOKEN)
        }

    private fun LocalQuota.available() = bucket.availableMicros / MICROS_PER_TOKEN

    /** If refill used the capacity of reserved tokens, releasing them would exceed the burst. */
    @Test
    fun `outstanding tokens limit refill and can be released`() {
        val quota = quota()
        quota.bucket.reserve(600 * MICROS_PER_TOKEN)
        quota.advance(60_000)
        expectThat(quota.available()).isEqualTo(400)
        quota.bucket.consume(200 * MICROS_PER_TOKEN)
        quota.bucket.release(400 * MICROS_PER_TOKEN)
        expectThat(quota.available()).isEqualTo(800)
        quota.bucket.overdraw(900 * MICROS_PER_TOKEN)
        expectThat(quota.available()).isEqualTo(-100)
    }

    /** If the lender's term ended before the borrower's, both would use the same tokens. */
    @Test
    fun `loan expires at the lender after the borrower and restores no tokens`() {
        val lender = quota()
        val borrower = LocalQuota(0)
        expectThat(lender.lend(1, "b", 800, rate / 2, 100)).isNotNull()
        expectThat(lender.lend(2, "b", 300, 0, 100)).isNull()
        expectThat(borrower.borrow(1, "a", 800, 800, rate / 2, 90, 102)).isTrue()
        expectThat(borrower.borrow(1, "a", 800, 800, rate / 2, 90, 103)).isFalse()
        expectThat(borrower.advance(5_089).borrowed).isEqualTo(0)
        expectThat(borrower.advance(5_090).borrowed).isEqualTo(1)
        expectThat(borrower.available()).isEqualTo(0)
        expectThat(lender.advance(5_649).lent).isEqualTo(0)
        expectThat(lender.available()).isEqualTo(200)
        expectThat(lender.advance(5_650).lent).isEqualTo(1)
        expectThat(lender.available()).isEqualTo(200)
        expectThat(lender.reclaim(1, "b", 800)).isFalse()
    }

    /** A grant that arrives after its term must add no tokens, because the lender may already use them again. */
    @Test
    fun `late grant is ignored`() {
        expectThat(LocalQuota(0).borrow(1, "a", 10, 10, 0, 0, 5_000)).isFalse()
    }

    /** Accepting a return from another instance, or a second return, would create tokens. */
    @Test
    fun `return is accepted once and only from the borrower`() {
        val lender = quota()
        lender.lend(1, "b", 500, 0, 0)
        expectThat(lender.reclaim(1, "c", 500)).isFalse()
        expectThat(lender.reclaim(1, "b", 500)).isTrue()
        expectThat(lender.reclaim(1, "b", 500)).isFalse()
        expectThat(lender.available()).isEqualTo(1_000)
    }

    /** The lender refills the capacity of an expired loan, so releasing a reservation of it must not add tokens. */
    @Test
    fun `released tokens of orphaned reservations are lost`() {
        val borrower = LocalQuota(0)
        borrower.borrow(1, "a", 500, 500, 0, 0, 1)
        borrower.bucket.reserve(500 * MICROS_PER_TOKEN)
        expectThat(borrower.returnLoan(borrower.borrowedLoans.single())).isNull()
        borrower.advance(6_000)
        borrower.bucket.release(500 * MICROS_PER_TOKEN)
        expectThat(borrower.available()).isEqualTo(0)
    }

    /** A paused process must not receive refill of a loan after the end of the loan. */
    @Test
    fun `refill of a loan stops at its end even if the expiry is processed late`() {
        val borrower = LocalQuota(0)
        borrower.setBaseShare(10_000 * MICROS_PER_TOKEN, 0)
        borrower.borrow(1, "a", 1, 0, rate, 0, 0)
        borrower.advance(60_000)
        expectThat(borrower.available()).isEqualTo(500)
    }

    /** A smaller share is confirmed only when the loans lent from it fit, and a larger share adds no tokens. */
    @Test
    fun `changing the base share never adds tokens`() {
        val quota = quota()
        quota.lend(1, "b", 600, 0, 0)
        quota.setBaseShare(500 * MICROS_PER_TOKEN, rate / 2)
        expectThat(quota.available()).isEqualTo(0)
        expectThat(quota.fitsWithin(500 * MICROS_PER_TOKEN, rate / 2)).isFalse()
        quota.setBaseShare(2_000 * MICROS_PER_TOKEN, rate)
        expectThat(quota.available()).isEqualTo(0)
        quota.advance(5_550)
        quota.setBaseShare(500 * MICROS_PER_TOKEN, rate / 2)
        expectThat(quota.fitsWithin(500 * MICROS_PER_TOKEN, rate / 2)).isTrue()
    }

    /** Tokens returned with a loan must be removed from the borrower. */
    @Test
    fun `early return removes the returned tokens`() {
        val borrower = quota(600)
        borrower.borrow(1, "a", 1_000, 600, 0, 0, 0)
        val tokens = borrower.returnLoan(borrower.borrowedLoans.single())
        expectThat(tokens).isEqualTo(600)
        expectThat(borrower.available()).isEqualTo(600)
    }
}
