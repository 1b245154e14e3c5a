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
import kotlin.random.Random

/** Plays engines of two software versions, on a fleet of whole instances. Each event names the version that made it. */
internal class StreamAcrossVersionsTest {
    @Test
    fun `a stream that its caller takes up goes on at its version in a small fleet`() = playKills(instances = 8)

    @Test
    fun `a stream that its caller takes up goes on at its version in a large fleet`() = playKills(instances = 60)

    /** Ends a quarter of the instances while streams run. Their callers take them up at other instances, some twice. */
    private fun playKills(instances: Int): Unit =
        runBlocking {
            mixedFleet(instances, engines = 6).use { fleet ->
                fleet.start()
                val killed = instances / 4
                val streams =
                    coroutineScope {
                        val begun = List(STREAMS) { n -> async { fleet.stream(n % instances) } }
                        delay(KILL_AFTER_MILLIS)
                        repeat(killed) { fleet.killInstance(it) }
                        begun.awaitAll()
                    }
                val broken = streams.filterNot { it.complete }
                expectThat(broken.size).describedAs("broken streams").isGreaterThan(10)
                val random = Random(1)
                val continued =
                    broken.map { stream ->
                        // A second try is sent at the same time, as impatient callers do.
                        val tries =
                            coroutineScope {
                                List(2) {
                                    async { fleet.stream(killed + random.nextInt(instances - killed), from = stream) }
                                }.awaitAll()
                            }
                        expectThat(mixedStreams(tries)).isEmpty()
                        tries.first()
                    }
                val share = continued.count { it.complete }.toDouble() / continued.size
                expectThat(share).describedAs("streams that went on").isGreaterThan(0.9)
            }
        }

    /** Guards against repeats after a crash in the middle of an answer that go to any engine. */
    @Test
    fun `a stream whose engine crashes goes on at its version`(): Unit =
        runBlocking {
            mixedFleet(instances = 3, engines = 4).use { fleet ->
                fleet.start()
                val streams = fleet.streamsBesideCrashes(0, 1)
                expectThat(mixedStreams(streams)).isEmpty()
                expectThat(streams.count { it.complete }).isGreaterThan(STREAMS * 8 / 10)
                val continued =
                    streams.filterNot { it.complete }.mapIndexed {
                        n,
                        stream,
                        ->
                        fleet.stream(n % 3, from = stream)
                    }
                expectThat(mixedStreams(continued)).isEmpty()
                expectThat(continued.count { it.complete }).isEqualTo(continued.size)
            }
        }

    /** Guards against streams that go on anywhere rather than end. */
    @Test
    fun `a stream ends without its end mark if no engine of its version is left`(): Unit =
        runBlocking {
            mixedFleet(instances = 3, engines = 3).use { fleet ->
                fleet.engines.drop(1).forEach { it.software = "v2" }
                fleet.start()
                val streams = fleet.streamsBesideCrashes(0)
                expectThat(mixedStreams(streams)).isEmpty()
                val broken = streams.filterNot { it.complete }
                expectThat(broken.size).isGreaterThan(0)
                val startMillis = StandinPromptEngine.nowMillis()
                val refused = fleet.stream(0, from = broken.first { it.events.isNotEmpty() })
                expectThat(refused.status).isEqualTo(503)
                expectThat(StandinPromptEngine.nowMillis() - startMillis).isLessThan(AT_ONCE_MILLIS)
            }
        }

    /** Guards against instances that have lost all knowledge and take that for consent. */
    @Test
    fun `a stream of an unknown version is refused at once while engines of two versions serve`(): Unit =
        runBlocking {
            mixedFleet(instances = 3, engines = 4).use { fleet ->
                fleet.start()
                val streams =
                    coroutineScope {
                        val begun = List(STREAMS) { n -> async { fleet.stream(n % 3) } }
                        delay(KILL_AFTER_MILLIS)
                        fleet.killInstances()
                        begun.awaitAll()
                    }
                // The record in the store is lost as well.
                fleet.store.removeAll("lacewingweir/streams/")
                fleet.startInstances()
                val broken = streams.filter { !it.complete && it.events.isNotEmpty() }
                expectThat(broken.size).isGreaterThan(10)
                val startMillis = StandinPromptEngine.nowMillis()
                val continued =
                    coroutineScope {
                        val tries = broken.mapIndexed { n, stream -> async { fleet.stream(n % 3, from = stream) } }
                        tries.awaitAll()
                    }
                expectThat(StandinPromptEngine.nowMillis() - startMillis).isLessThan(AT_ONCE_MILLIS)
                expectThat(mixedStreams(continued)).isEmpty()
                expectThat(continued.count { it.status == 503 }).isEqualTo(broken.size)
            }
        }

    /** Guards against refusals in quiet times, when nothing has to be known of a stream. */
    @Test
    fun `a stream goes on after its instance has ended if all engines have one version`(): Unit =
        runBlocking {
            RouterFleet(size = 4, engines = 3).use { fleet ->
                fleet.engines.forEach { it.streamSlowly() }
                fleet.start()
                val streams =
                    coroutineScope {
                        val begun = List(STREAMS) { async { fleet.stream(0) } }
                        delay(KILL_AFTER_MILLIS)
                        fleet.killInstance(0)
                        begun.awaitAll()
                    }
                val broken = streams.filter { !it.complete && it.events.isNotEmpty() }
                expectThat(broken.size).isGreaterThan(10)
                val continued = broken.mapIndexed { n, stream -> fleet.stream(1 + n % 3, from = stream) }
                expectThat(continued.count { it.complete }).isEqualTo(broken.size)
            }
        }

    private fun mixedFleet(
        instances: Int,
        engines: Int,
    ) = RouterFleet(instances, engines).also { fleet ->
        fleet.engines.forEachIndexed { n, engine ->
            engine.software = "v${n % 2 + 1}"
            engine.streamSlowly()
        }
    }

    /** Streams at all instances while the engines with the given [crashing] indexes crash. */
    private suspend fun RouterFleet.streamsBesideCrashes(vararg crashing: Int): List<RouterFleet.CallerStream> =
        coroutineScope {
            val streams = List(STREAMS) { n -> async { stream(n % 3) } }
            delay(KILL_AFTER_MILLIS)
            crashing.forEach { engines[it].crash() }
            streams.awaitAll()
        }

    private companion object {
        const val STREAMS = 60

        /** Some events of each stream have arrived by then. */
        const val KILL_AFTER_MILLIS = 400L

        /** Much less than the time that the callers would wait. */
        const val AT_ONCE_MILLIS = 1_500L
    }
}
