package lacewingweir.cli.measure

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

internal class OracleCacheTest {
    // Guards against an oracle that holds more than the engines can, which makes every measured hit rate look too low.
    @Test
    fun `oracle evicts by capacity and by idle time`() {
        val oracle = OracleCache(capacity = 3, idleSeconds = 4.0)
        expectThat(oracle.serve(longArrayOf(1, 2, 3), 0.0)).isEqualTo(0)
        expectThat(oracle.serve(longArrayOf(1, 2, 3), 1.0)).isEqualTo(3)
        expectThat(oracle.serve(longArrayOf(1, 4), 2.0)).isEqualTo(1)
        // Piece 3 was evicted as the last piece of the least recently used prompt.
        expectThat(oracle.serve(longArrayOf(1, 2, 3), 3.0)).isEqualTo(2)
        expectThat(oracle.serve(longArrayOf(1, 2, 3), 8.0)).isEqualTo(0)
    }
}
