package lacewingweir.platform

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import lacewingweir.testing.eventually
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isLessThan
import java.util.concurrent.CopyOnWriteArrayList

/** Plays new target weights while calls keep coming, on a fleet of whole instances. */
internal class RolloutPaceTest {
    /** [instances] that callers use. */
    private class Callers(
        val fleet: RouterFleet,
        val instances: MutableSet<Int>,
    ) {
        val statuses = CopyOnWriteArrayList<Pair<Long, Int>>()
        val sent = CopyOnWriteArrayList<Long>()

        fun refusedSince(startMillis: Long) = statuses.count { (at, status) -> at >= startMillis && status in 400..599 }

        fun brokenSince(startMillis: Long) = statuses.count { (at, status) -> at >= startMillis && status == 0 }

        fun servedSince(startMillis: Long) = statuses.count { (at, status) -> at >= startMillis && status == 200 }
    }

    @Test
    fun `a holder that takes over late commands all outdated engines in a small fleet`() =
        playKilledHolders(engines = 12)

    @Test
    fun `a holder that takes over late commands all outdated engines in a large fleet`() =
        playKilledHolders(engines = 60)

    @Test
    fun `a rollout beside short answers ends in time in a small fleet`() = playUndisturbed(engines = 6, eventMillis = 1)

    @Test
    fun `a rollout beside short answers ends in time in a large fleet`() =
        playUndisturbed(engines = 60, eventMillis = 1)

    @Test
    fun `a rollout beside long answers ends in time in a small fleet`() = playUndisturbed(engines = 6)

    @Test
    fun `a rollout beside long answers ends in time in a large fleet`() = playUndisturbed(engines = 60)

    /** Guards against silent engines that keep the places of the others among the concurrent loads. */
    @Test
    fun `engines that don't answer don't keep others from loading`(): Unit =
        runBlocking {
            RouterFleet(size = 2, engines = 6).use { fleet ->
                fleet.start()
                val silent = HashSet<String>()
                fleet.engines.forEach { engine ->
                    engine.weights.answersStatus = {
                        synchronized(silent) { engine.id !in silent && (silent.size == 3 || !silent.add(engine.id)) }
                    }
                }
                fleet.setTargetWeights(2)
                eventually("the other engines have the new weights", timeoutMillis = 3_000) {
                    fleet.engines.count { it.weights.current == 2L } == 3
                }
            }
        }

    private fun playUndisturbed(
        engines: Int,
        eventMillis: Long = EVENT_MILLIS,
    ) = play(engines, eventMillis) { callers ->
        val setAt = StandinPromptEngine.nowMillis()
        callers.fleet.setTargetWeights(3)
        callers.fleet.awaitLoaded(3)
        callers.report(setAt)
        expectThat(StandinPromptEngine.nowMillis() - setAt).isLessThan(BOUND_MILLIS)
        expectThat(callers.fleet.lateBegins(setAt)).isEmpty()
    }

    /** Ends the holder as new weights are set, and the next one after its first commands. */
    private fun playKilledHolders(engines: Int) =
        play(engines) { callers ->
            val fleet = callers.fleet
            val setAt = StandinPromptEngine.nowMillis()
            fleet.setTargetWeights(3)
            val first = callers.killHolder()
            eventually("the next holder commands", timeoutMillis = 10_000) { fleet.commands(3).isNotEmpty() }
            delay(COMMANDS_MILLIS)
            val second = callers.killHolder()
            val killedAt = StandinPromptEngine.nowMillis()
            callers.restart(first)
            callers.restart(second)
            fleet.awaitLoaded(3)
            callers.report(setAt)
            expectThat(fleet.lateBegins(setAt)).isEmpty()
            val commands = fleet.commands(3).filter { it > killedAt }
            val spread = commands.max() - maxOf(commands.min(), setAt + LAST_SEND_MILLIS)
            expectThat(spread).describedAs("time from the first to the last late command").isLessThan(AT_ONCE_MILLIS)
        }

    private fun play(
        engines: Int,
        eventMillis: Long = EVENT_MILLIS,
        course: suspend (Callers) -> Unit,
    ): Unit =
        runBlocking {
            RouterFleet(size = INSTANCES, engines).use { fleet ->
                fleet.store.leasesExpire = true
                fleet.start()
                fleet.engines.forEach {
                    it.events = EVENTS
                    it.eventMillis = eventMillis
                }
                val callers = Callers(fleet, (0 until INSTANCES).toMutableSet())
                val calls = sendCalls(callers, periodMillis = 500L / engines)
                fleet.setTargetWeights(2)
                fleet.awaitLoaded(2)
                course(callers)
                calls.cancelAndJoin()
            }
        }

    private fun CoroutineScope.sendCalls(
        callers: Callers,
        periodMillis: Long,
    ): Job =
        launch {
            var number = 0
            while (isActive) {
                delay(periodMillis)
                number++
                val index =
                    synchronized(callers.instances) {
                        callers.instances.elementAt(
                            number % callers.instances.size,
                        )
                    }
                launch {
                    val sentAt = StandinPromptEngine.nowMillis()
                    callers.sent += sentAt
                    val response = callers.fleet.call(index, "sys:100,doc${number % DOCUMENTS}:100")
                    callers.statuses += sentAt to response.status
                }
            }
        }

    /** Ends the holder of the rollout lease and returns its index. */
    private suspend fun Callers.killHolder(): Int {
        val index = checkNotNull(fleet.store.value(PlatformKeys.ROLLOUT_LEASE)).substringAfter('-').toInt()
        synchronized(instances) { instances -= index }
        fleet.killInstance(index)
        return index
    }

    private suspend fun Callers.restart(index: Int) {
        fleet.restartInstance(index)
        synchronized(instances) { instances += index }
    }

    private suspend fun RouterFleet.awaitLoaded(weights: Long) =
        eventually("all engines have weights $weights", timeoutMillis = 30_000) {
            engines.all { it.weights.current == weights }
        }

    private fun RouterFleet.commands(weights: Long): List<Long> =
        engines.flatMap { engine ->
            engine.weights.loads
                .filter { it.weights == weights }
                .map { it.atMillis }
        }

    /** Returns how late calls began on older weights than those set at [setAt], in milliseconds. */
    private fun RouterFleet.lateBegins(setAt: Long): List<Long> =
        engines.flatMap { it.weights.begins }.filter { it.weights < 3 }.map { it.atMillis - setAt }.filter {
            it >
                BOUND_MILLIS
        }

    private fun Callers.report(setAt: Long) {
        val tookMillis = StandinPromptEngine.nowMillis() - setAt
        val commands = fleet.commands(3).map { it - setAt }.sorted()
        println(
            "RolloutPaceTest ${fleet.engines.size} engines: took=$tookMillis ms sent=${sent.count { it >= setAt }} " +
                "refused=${refusedSince(setAt)} broken=${brokenSince(setAt)} " +
                "served=${servedSince(setAt)} late=${fleet.lateBegins(setAt)} commands=$commands",
        )
    }

    private companion object {
        const val INSTANCES = 6
        const val DOCUMENTS = 60

        /** A long answer takes two seconds. */
        const val EVENTS = 40
        const val EVENT_MILLIS = 50L

        /** Time after the first command in which a holder sends the others of its first batch. */
        const val COMMANDS_MILLIS = 100L

        /** The bound of the platform for calls that begin on outdated weights. */
        const val BOUND_MILLIS = 8_000L

        /** Age of outdated weights from which no call is sent to them. */
        const val LAST_SEND_MILLIS = 6_500L

        /** Much less than the time of a load. */
        const val AT_ONCE_MILLIS = 1_000L
    }
}
