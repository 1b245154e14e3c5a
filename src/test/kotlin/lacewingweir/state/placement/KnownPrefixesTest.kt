package lacewingweir.state.placement

import lacewingweir.state.id.Incarnation
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue

internal class KnownPrefixesTest {
    private fun chain(text: String): PrefixChain =
        PrefixChain.of("salt", text.repeat(16_000).take(32_000).toByteArray(), 8_000, 2_000)

    // Guards against expecting cached prefixes on an engine that restarted with an empty cache.
    @Test
    fun `a new incarnation clears all prefixes`() {
        val known = KnownPrefixes()
        expectThat(known.onIncarnation(Incarnation("a"))).isFalse()
        known.recordAnswer(chain("p "), null, 0)
        expectThat(known.expectedTokens(chain("p "), 100)).isEqualTo(8_000.0)
        expectThat(known.onIncarnation(Incarnation("b"))).isTrue()
        expectThat(known.expectedTokens(chain("p "), 100)).isEqualTo(0.0)
    }

    @Test
    fun `early evictions shorten the retention time`() {
        val known = KnownPrefixes()
        val before = known.retentionMillis
        repeat(30) { n ->
            known.recordAnswer(chain("p "), cachedTokens = 0, nowMillis = n * 1_000L)
        }
        expectThat(known.retentionMillis).isLessThan(before / 2)
        expectThat(known.expectedTokens(chain("p "), 29_000L + 4_000)).isEqualTo(0.0)
    }

    @Test
    fun `late hits lengthen the retention time and entries stay bounded`() {
        val known = KnownPrefixes(maxEntries = 100)
        known.recordAnswer(chain("p "), null, 0)
        known.recordAnswer(chain("p "), cachedTokens = 8_000, nowMillis = 60_000)
        expectThat(known.retentionMillis).isGreaterThan(20_000.0)
        repeat(100) { known.recordAnswer(chain("q$it "), null, 60_000) }
        expectThat(known.size).isLessThanOrEqualTo(100)
    }
}
