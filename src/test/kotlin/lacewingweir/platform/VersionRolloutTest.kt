package lacewingweir.platform

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull

/** Rolls out software versions on whole instances. */
internal class VersionRolloutTest {
    /** Guards against steps, counts or filters that don't reach the calls of whole instances. */
    @Test
    fun `a good version of engines is completed and a bad one of a plain service rolled back`(): Unit =
        runBlocking {
            RouterFleet(size = 3, engines = 4, desks = 4, exposeShare = 0.1).use { fleet ->
                val newDesks = fleet.desks.drop(2)
                (fleet.engines.drop(2) + newDesks).forEach { it.software = "v2" }
                newDesks.forEach { it.status = { 500 } }
                for (service in listOf("engine", "desk")) {
                    fleet.store.write(
                        "op/rollout/$service",
                        """{"service":"$service","target":"v2","durationS":$DURATION_SECONDS}""",
                    )
                }
                fleet.start()
                val statuses = fleet.callAll()
                expectThat(fleet.store.value("status/rollout/engine")).isNotNull().contains("\"completed\"")
                expectThat(fleet.store.value("status/rollout/desk")).isNotNull().contains("\"rolled_back\"")
                expectThat(statuses.filter { it != 200 && it != 500 }).isEmpty()
                val exposed = newDesks.sumOf { it.arrivals.size }
                expectThat(exposed).isGreaterThan(0).isLessThan(50 + statuses.size / 20)
                val oldArrivals = fleet.engines.take(2).sumOf { it.arrivals.size }
                coroutineScope { List(30) { n -> async { fleet.call(n % 3, "sys:100") } }.awaitAll() }
                expectThat(fleet.engines.take(2).sumOf { it.arrivals.size }).isEqualTo(oldArrivals)
                expectThat(fleet.engines.drop(2).sumOf { it.arrivals.size }).isGreaterThan(100)
            }
        }

    /** Calls both services until the deadline of the orders, and returns the statuses. */
    private suspend fun RouterFleet.callAll(): List<Int> =
        coroutineScope {
            val calls =
                List(DURATION_SECONDS * CALLS_PER_SECOND) { n ->
                    delay(MILLIS_PER_SECOND / CALLS_PER_SECOND)
                    val engineCall = async { call(n % 3, "sys:100,doc${n % 12}:100").status }
                    listOf(engineCall, async { lookUp(n % 3, "body$n").status })
                }
            calls.flatten().awaitAll()
        }

    private companion object {
        const val DURATION_SECONDS = 20
        const val CALLS_PER_SECOND = 50
        const val MILLIS_PER_SECOND = 1_000L
    }
}
