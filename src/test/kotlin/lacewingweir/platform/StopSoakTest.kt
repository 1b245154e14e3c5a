package lacewingweir.platform

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEmpty

/**
 * Guards against requests that routers lose while they are stopped and started in series.
 *
 * Longer runs are started by hand: `-DstopSoak.seeds=1-50 -DstopSoak.routers=6 -DstopSoak.seconds=30`, the time of each
 * seed.
 */
@Timeout(7_200)
internal class StopSoakTest {
    @Test
    fun `no request is lost while routers stop and start in series`() {
        val (first, last) = System.getProperty("stopSoak.seeds", "1-1").split('-').map { it.toLong() }
        val routers = System.getProperty("stopSoak.routers", "3").toInt()
        val seconds = System.getProperty("stopSoak.seconds", "30").toInt()
        val violations =
            (first..last).flatMap { seed ->
                StopPlay(
                    seed,
                    routers,
                    seconds = seconds,
                ).use { it.run() }.onEach { println("stop soak: seed=$seed $it") }
            }
        expectThat(violations).isEmpty()
    }
}
