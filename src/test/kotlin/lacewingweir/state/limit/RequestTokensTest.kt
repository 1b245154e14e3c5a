package lacewingweir.state.limit

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

internal class RequestTokensTest {
    private val tokens = RequestTokens(startMillis = 1_000)

    @Test
    fun `the first token is available after its refill time`() {
        expectThat(tokens.millisUntilAvailable(2.0, 1_000)).isEqualTo(501)
        expectThat(tokens.millisUntilAvailable(2.0, 1_501)).isEqualTo(0)
    }

    @Test
    fun `an instance without a share never gets a token`() {
        expectThat(tokens.millisUntilAvailable(0.0, 100_000)).isEqualTo(Long.MAX_VALUE)
    }

    @Test
    fun `a long pause adds only a short burst`() {
        var taken = 0
        while (tokens.millisUntilAvailable(8.0, 100_000) == 0L) {
            tokens.take(8.0, 100_000)
            taken++
        }
        expectThat(taken).isGreaterThan(1).isLessThan(4)
    }

    @Test
    fun `an instance that regains its share starts without tokens`() {
        tokens.millisUntilAvailable(1.0, 5_000)
        tokens.millisUntilAvailable(0.0, 6_000)
        expectThat(tokens.millisUntilAvailable(1.0, 6_000)).isGreaterThan(900)
    }

    @Test
    fun `a debt is paid back first`() {
        tokens.take(1.0, 1_000)
        expectThat(tokens.millisUntilAvailable(1.0, 2_500)).isEqualTo(501)
    }
}
