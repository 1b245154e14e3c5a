package lacewingweir.platform

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import lacewingweir.testing.FaultProxy
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

/**
 * Guards against streams that go on at another software version through instances that the store ignores: endpoints of
 * a new version come, begin streams and crash, and these instances have seen nothing of it.
 */
internal class StreamPastOldViewTest {
    @Test
    fun `a stream of a new version isn't joined by two of eight instances with old views`() =
        playNewVersion(instances = 8, ignored = 2)

    @Test
    fun `a stream of a new version isn't joined by three of four instances with old views`() =
        playNewVersion(instances = 4, ignored = 3)

    private fun playNewVersion(
        instances: Int,
        ignored: Int,
    ): Unit =
        runBlocking {
            val paths = HashMap<Int, FaultProxy>()
            val fleet =
                RouterFleet(instances, engines = 6) { index, address ->
                    val path = paths.getOrPut(index) { FaultProxy(address.substringAfter(':').toInt()) }
                    "127.0.0.1:${path.port}"
                }
            fleet.use {
                fleet.engines.forEach { it.streamSlowly() }
                fleet.start()
                val fresh = fleet.engines.takeLast(3)
                fresh.forEach {
                    it.software = "new"
                    it.crash()
                }
                delay(StandinPromptEngine.RESTART_MILLIS - IGNORED_BEFORE_MILLIS)
                repeat(ignored) { paths.getValue(it).dropFromTarget = true }
                delay(IGNORED_BEFORE_MILLIS + SEEN_AFTER_MILLIS)
                val streams =
                    coroutineScope {
                        val begun =
                            List(STREAMS) { n ->
                                async {
                                    val stream = fleet.stream(ignored + n % (instances - ignored))
                                    if (stream.complete) stream else fleet.stream(n % ignored, from = stream)
                                }
                            }
                        delay(CRASH_AFTER_MILLIS)
                        fresh.forEach { it.crash() }
                        begun.awaitAll()
                    }
                val atNew = streams.count { "new" in it.versions }
                expectThat(atNew).describedAs("streams of the new version").isGreaterThan(5)
                expectThat(mixedStreams(streams)).isEmpty()
                // Streams of the old version, which serves on, aren't given up for that.
                paths.values.forEach { it.restore() }
                delay(RECOVERED_AFTER_MILLIS)
                val whole = List(5) { n -> fleet.stream(n % ignored) }
                expectThat(whole.count { it.complete }).isEqualTo(whole.size)
            }
            paths.values.forEach { it.close() }
        }

    private companion object {
        const val STREAMS = 60

        /** The new endpoints come when the instances have been ignored for so long. */
        const val IGNORED_BEFORE_MILLIS = 100L

        /** Time in which the other instances learn of the new endpoints. */
        const val SEEN_AFTER_MILLIS = 1_000L

        /** Some events of each stream have arrived by then. */
        const val CRASH_AFTER_MILLIS = 250L

        /** Time in which calls that got no answer fail, and the view is current again. */
        const val RECOVERED_AFTER_MILLIS = 4_000L
    }
}
