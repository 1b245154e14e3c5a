package lacewingweir.state.rate

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue

/** Guards the accounting rules that the fleet-wide bound rests on. */
class RateAccountTest {
    private val rate = 100L * MICROS_PER_MILLI_IN_TOKEN_PER_SECOND

    private fun account(tokens: Long = 1_000): LocalQuota =
        LocalQuota(0, LoanTerms(lendablePercent = 100)).apply {
            setBaseShare(1_000 * MICROS_PER_TOKEN, rate)
            bucket.addTokens(tokens * MICROS_PER_TOKEN)
        }

    private fun LocalQuota.available() = bucket.availableMicros / MICROS_PER_TOKEN

    /** A refill into the space of reserved tokens would let their return exceed the burst. */
    @Test
    fun `outstanding tokens block refill and returns fit`() {
        val account = account()
        account.bucket.reserve(600 * MICROS_PER_TOKEN)
        account.advance(60_000)
        expectThat(account.available()).isEqualTo(400)
        account.bucket.consume(200 * MICROS_PER_TOKEN)
        account.bucket.release(400 * MICROS_PER_TOKEN)
        expectThat(account.available()).isEqualTo(800)
        account.bucket.overdraw(900 * MICROS_PER_TOKEN)
        expectThat(account.available()).isEqualTo(-100)
    }

    /** A lender that takes back before the borrower's term is over doubles the tokens. */
    @Test
    fun `lender outlasts the borrower and takes back no tokens`() {
        val lender = account()
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

    /** A grant that arrives after its term must add nothing, since the lender may hold the tokens again. */
    @Test
    fun `late grant is dropped`() {
        expectThat(LocalQuota(0).borrow(1, "a", 10, 10, 0, 0, 5_000)).isFalse()
    }

    /** A return of another instance, or a second one, would create tokens. */
    @Test
    fun `return counts once and only from the borrower`() {
        val lender = account()
        lender.lend(1, "b", 500, 0, 0)
        expectThat(lender.reclaim(1, "c", 500)).isFalse()
        expectThat(lender.reclaim(1, "b", 500)).isTrue()
        expectThat(lender.reclaim(1, "b", 500)).isFalse()
        expectThat(lender.available()).isEqualTo(1_000)
    }

    /** Reservations on an ended loan must not come back as tokens beside those that the lender refills. */
    @Test
    fun `returns of orphaned reservations are lost`() {
        val borrower = LocalQuota(0)
        borrower.borrow(1, "a", 500, 500, 0, 0, 1)
        borrower.bucket.reserve(500 * MICROS_PER_TOKEN)
        expectThat(borrower.returnLoan(borrower.borrowedLoans.single())).isNull()
        borrower.advance(6_000)
        borrower.bucket.release(500 * MICROS_PER_TOKEN)
        expectThat(borrower.available()).isEqualTo(0)
    }

    /** A pause must not earn refill of a loan after its end. */
    @Test
    fun `refill of a loan stops at its end even when noticed late`() {
        val borrower = LocalQuota(0)
        borrower.setBaseShare(10_000 * MICROS_PER_TOKEN, 0)
        borrower.borrow(1, "a", 1, 0, rate, 0, 0)
        borrower.advance(60_000)
        expectThat(borrower.available()).isEqualTo(500)
    }

    /** A shrunk share is confirmed only when the loans out of it fit, and a larger one adds no tokens. */
    @Test
    fun `rescale takes the smaller amount`() {
        val account = account()
        account.lend(1, "b", 600, 0, 0)
        account.setBaseShare(500 * MICROS_PER_TOKEN, rate / 2)
        expectThat(account.available()).isEqualTo(0)
        expectThat(account.fitsWithin(500 * MICROS_PER_TOKEN, rate / 2)).isFalse()
        account.setBaseShare(2_000 * MICROS_PER_TOKEN, rate)
        expectThat(account.available()).isEqualTo(0)
        account.advance(5_550)
        account.setBaseShare(500 * MICROS_PER_TOKEN, rate / 2)
        expectThat(account.fitsWithin(500 * MICROS_PER_TOKEN, rate / 2)).isTrue()
    }

    /** Tokens given back with a loan must leave the borrower. */
    @Test
    fun `early return conserves tokens`() {
        val borrower = account(600)
        borrower.borrow(1, "a", 1_000, 600, 0, 0, 0)
        val tokens = borrower.returnLoan(borrower.borrowedLoans.single())
        expectThat(tokens).isEqualTo(600)
        expectThat(borrower.available()).isEqualTo(600)
    }
}
