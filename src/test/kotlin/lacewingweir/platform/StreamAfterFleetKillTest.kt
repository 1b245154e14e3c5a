package lacewingweir.platform

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/**
 * Ends all instances of a fleet at once while streams run, as the old one of two software versions leaves. All engines
 * say that they started long ago.
 */
internal class StreamAfterFleetKillTest {
    @Test
    fun `a stream is not joined after a small fleet was killed and its version has left`() = playKill(instances = 8)

    @Test
    fun `a stream is not joined after a large fleet was killed and its version has left`() = playKill(instances = 60)

    /** Guards against instances that know of the old version only from what an instance before them saw. */
    @Test
    fun `a stream is not joined if its version left shortly before the kill`() =
        playKill(instances = 8, leavesBeforeKill = true)

    /** Guards against instances that lose the old version with the second kill. */
    @Test
    fun `a stream is not joined after a second kill`() = playKill(instances = 8, kills = 2)

    /** Guards against streams that are refused since all instances that remembered them were killed. */
    @Test
    fun `a stream goes on at its version after a fleet was killed while both versions serve`() =
        playKill(instances = 8, oldLeaves = false)

    @Test
    fun `a stream goes on after a fleet was killed whose first instance had ended before`() =
        playKill(instances = 8, oldLeaves = false, endedBefore = 1)

    @Test
    fun `a stream goes on after a fleet was killed twice while both versions serve`() =
        playKill(instances = 4, oldLeaves = false, kills = 2)

    private fun playKill(
        instances: Int,
        oldLeaves: Boolean = true,
        leavesBeforeKill: Boolean = false,
        kills: Int = 1,
        endedBefore: Int = 0,
    ): Unit =
        runBlocking {
            val started = minOf(instances, STARTED_AFTER_KILL)
            RouterFleet(instances, engines = 6).use { fleet ->
                fleet.engines.forEachIndexed { n, engine ->
                    engine.software = if (n % 2 == 0) "old" else "new"
                    engine.streamSlowly()
                }
                fleet.start()
                repeat(endedBefore) { fleet.killInstance(it) }
                val first = endedBefore
                var killedAtMillis = 0L
                val old = fleet.engines.filter { it.software == "old" }
                val streams =
                    coroutineScope {
                        val begun = List(STREAMS) { n -> async { fleet.stream(first + n % (instances - first)) } }
                        delay(KILL_AFTER_MILLIS)
                        if (leavesBeforeKill) {
                            old.forEach { it.leave(fleet.store) }
                            delay(LEFT_BEFORE_KILL_MILLIS)
                        }
                        killedAtMillis = StandinPromptEngine.nowMillis()
                        fleet.killInstances()
                        begun.awaitAll()
                    }
                if (oldLeaves && !leavesBeforeKill) old.forEach { it.leave(fleet.store) }
                fleet.startInstances(started)
                repeat(kills - 1) {
                    fleet.killInstances()
                    fleet.startInstances(started)
                }
                // Callers take a stream up before their deadlines, and nobody remembers it for longer.
                val awayMillis = StandinPromptEngine.nowMillis() - killedAtMillis
                expectThat(awayMillis).describedAs("time until streams are taken up").isLessThan(STREAMS_LAST_MILLIS)
                val broken = streams.filter { !it.complete && it.events.isNotEmpty() }
                expectThat(broken.count { it.versions == setOf("old") }).isGreaterThan(10)
                val continued =
                    coroutineScope {
                        val tries = broken.mapIndexed { n, s -> async { fleet.stream(n % started, from = s) } }
                        tries.awaitAll()
                    }
                expectThat(mixedStreams(continued)).isEmpty()
                if (!oldLeaves) {
                    val begun = List(NEW_STREAMS) { n -> fleet.stream(n % started) }.count { it.events.isNotEmpty() }
                    val wentOn = continued.count { it.complete }
                    expectThat(wentOn.toDouble() / broken.size)
                        .describedAs("share that went on")
                        .isGreaterThan(MIN_SHARE_OF_NEW * begun / NEW_STREAMS)
                    return@runBlocking
                }
                val refused = continued.filter { "old" in it.versions }.count { it.status == REFUSED }
                expectThat(refused).isEqualTo(broken.count { "old" in it.versions })
            }
        }

    private companion object {
        const val STREAMS = 60
        const val NEW_STREAMS = 6

        /** The share of streams that go on, as a part of the share of new ones that begin. */
        const val MIN_SHARE_OF_NEW = 0.5

        /** Some events of each stream have arrived by then. */
        const val KILL_AFTER_MILLIS = 400L

        /** Shorter than a stream, longer than the instances need to learn that an engine has left. */
        const val LEFT_BEFORE_KILL_MILLIS = 300L
        const val REFUSED = 503

        /** A large fleet takes longer to start in one process than streams last, so the rest of it stays away. */
        const val STARTED_AFTER_KILL = 10
        const val STREAMS_LAST_MILLIS = 30_000L
    }
}
