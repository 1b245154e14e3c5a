package lacewingweir.state.placement

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan

internal class PrefixRatesTest {
    @Test
    fun `the rate follows the requests and fades without them`() {
        val rates = PrefixRates()
        var rate = 0.0
        for (now in 0L until 10_000 step 100) rate = rates.record(prefix = 1, tokens = 1_000, now)
        expectThat(rate).isIn(9.5..11.0)
        expectThat(rates.record(prefix = 1, tokens = 0, nowMillis = 20_000)).isLessThan(0.2)
    }

    /** Guards against a caller that sends a new prefix with each request and makes the instance run out of memory. */
    @Test
    fun `prefixes that are requested once evict each other and not a popular one`() {
        val rates = PrefixRates(maxPrefixes = 4)
        for (now in 0L until 100) {
            rates.record(prefix = -1, tokens = 1_000, now)
            rates.record(prefix = now, tokens = 1_000, now)
        }
        expectThat(rates.record(prefix = -1, tokens = 0, nowMillis = 100)).isGreaterThan(40.0)
        expectThat(rates.record(prefix = 0, tokens = 0, nowMillis = 100)).isLessThan(0.1)
    }
}
