package lacewingweir.platform

import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger

/** Guards against calls that were just accepted and are cut off without an answer when their instance stops. */
internal class PlannedStopTest {
    private val answered = AtomicInteger()
    private val unanswered: MutableSet<String> = ConcurrentHashMap.newKeySet()
    private val failed = CopyOnWriteArrayList<Int>()

    /** All instances stop in turn, while callers send streams and plain calls until the connections are refused. */
    @Test
    fun `no call that was sent on is left without an answer while instances stop under load`(): Unit =
        runBlocking {
            repeat(ROUNDS) {
                RouterFleet(size = INSTANCES, engines = 3, desks = 3).use { fleet ->
                    fleet.start()
                    fleet.engines.forEach { engine -> engine.eventMillis = 40 }
                    fleet.desks.forEach { desk -> desk.prefillMillis = 60 }
                    playStops(fleet, round = it)
                    val reached = (fleet.engines + fleet.desks).flatMap { e -> e.arrivals.map { a -> a.body } }.toSet()
                    expectThat(unanswered.filter { body -> body in reached }).isEmpty()
                }
            }
            expectThat(answered.get()).isGreaterThan(STOPS * CALLS_BEFORE_STOP)
            expectThat(failed.filter { it != NOT_RUN }.size).isEqualTo(0)
        }

    private suspend fun playStops(
        fleet: RouterFleet,
        round: Int,
    ) = coroutineScope {
        val callers =
            (0 until INSTANCES).flatMap { index ->
                List(CALLERS) { caller -> launch { callUntilRefused(fleet, index, "$round-$index-$caller") } }
            }
        delay(LOAD_MILLIS)
        val stops = (0 until INSTANCES).map { launch { fleet.stopInstance(it) } }
        (stops + callers).joinAll()
    }

    private suspend fun callUntilRefused(
        fleet: RouterFleet,
        index: Int,
        caller: String,
    ) {
        var number = 0
        while (checkNotNull(kotlin.coroutines.coroutineContext[Job]).isActive && !fleet.isStopped(index)) {
            val body = "$caller-${number++}"
            val plain = number % 2 == 0
            val response = if (plain) fleet.lookUp(index, body) else fleet.call(index, "sys:100,doc:100", body)
            when {
                response.status == 200 && response.complete -> answered.incrementAndGet()
                response.status == 0 || !response.complete -> unanswered += body
                else -> failed += response.status
            }
        }
    }

    private companion object {
        const val INSTANCES = 5
        const val ROUNDS = 4
        const val STOPS = INSTANCES * ROUNDS
        const val CALLERS = 4
        const val LOAD_MILLIS = 500L
        const val CALLS_BEFORE_STOP = 4

        /** The status of calls that were refused and have not run. */
        const val NOT_RUN = 503
    }
}
