package lacewingweir.platform

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan

/**
 * Guards against answers that aren't the caller's own, or aren't whole, from servers that stutter in ways that are
 * drawn from a seed. More seeds are played by hand: `mvn test -Dtest=DrawnStutterTest -Dstutter.seeds=50`.
 */
@Timeout(3_600)
internal class DrawnStutterTest {
    private val seeds: LongRange
        get() {
            val first = System.getProperty("stutter.first")?.toLong() ?: 1
            return first until first + (System.getProperty("stutter.seeds")?.toLong() ?: SEEDS)
        }

    private val wrong = ArrayList<String>()
    private var served = 0
    private val stutters = HashMap<Stutter, Int>()
    private val callerKinds = HashMap<CallerKind, Int>()

    private fun startServers(
        record: StutterRecord,
        streams: Boolean = false,
    ) = List(1 + (record.seed % SERVERS).toInt()) { StutteringServer(it, record, streams) }

    private fun run(
        play: StutterPlay,
        record: StutterRecord,
        setting: String,
    ) {
        play.run()
        println(
            "stutter: seed=${record.seed} $setting wrong=${play.wrong.size} served=${play.served} " +
                "untellable=${play.untellable} statuses=${play.statuses}",
        )
        wrong += play.wrong
        served += play.served.get()
        play.callerKinds.forEach { (name, count) -> callerKinds.merge(name, count.get(), Int::plus) }
        Stutter.entries.forEach { stutters.merge(it, record.count(it), Int::plus) }
    }

    private fun expectOwnAnswers(setting: String) {
        wrong.forEach(::println)
        println("stutter: $setting wrong=${wrong.size} served=$served drawn=$stutters callers=$callerKinds")
        expectThat(wrong).isEmpty()
        expectThat(served).isGreaterThan(seeds.count() * LEAST_SERVED)
        for (stutter in Stutter.entries) expectThat(stutters.getValue(stutter)).isGreaterThan(0)
        for (callerKind in CallerKind.entries) expectThat(callerKinds.getValue(callerKind)).isGreaterThan(0)
    }

    private fun playOnRelay(kind: String) {
        for (seed in seeds) {
            val record = StutterRecord(seed)
            val servers = startServers(record, streams = kind == "stream")
            RelayFixture(repeatExtra = 100_000.0).use { relay ->
                relay.configure("k1")
                // The fixture proves contact with the store only once.
                relay.limits = relay.limits.copy(maxKeyProofAgeMillis = Long.MAX_VALUE)
                servers.forEachIndexed { i, server ->
                    if (kind == "stream") {
                        relay.registerEngine("i-$i", server.port)
                    } else {
                        relay.registerPlain("i-$i", server.port)
                    }
                }
                val play = StutterPlay(kind, record) { StutterCaller("127.0.0.1", relay.callerPort) }
                run(play, record, "kind=$kind servers=${servers.size}")
            }
            servers.forEach { it.close() }
        }
        expectOwnAnswers("kind=$kind")
    }

    @Test
    fun `no booking gets an answer that is not its own`() = playOnRelay("non_idempotent")

    @Test
    fun `no look-up gets an answer that is not its own`() = playOnRelay("idempotent")

    @Test
    fun `no stream gets an answer that is not its own`() = playOnRelay("stream")

    /** Calls through whole instances, one of which is stopped and started again meanwhile. */
    private fun playOnFleet(
        kind: String,
        path: String,
    ) = RouterFleet(size = INSTANCES, engines = 1, repeatExtra = 100_000.0).use { fleet ->
        runBlocking { fleet.start() }
        for (seed in seeds) {
            val record = StutterRecord(seed)
            val servers = startServers(record)
            servers.forEachIndexed { i, server ->
                fleet.store.write(
                    "servers/s$seed-$i",
                    """{"service":"desk","address":"127.0.0.1:${server.port}","zone":"z1","version":"v1","slots":48,
                    "state":"ready","coldLeftMs":0,"sequence":1,"born":1000}""",
                )
            }
            val play =
                StutterPlay(kind, record, callsPerCaller = CALLS_ON_FLEET, path = path) {
                    StutterCaller(fleet.host(it % INSTANCES), RouterFleet.CALLER_PORT)
                }
            runBlocking {
                val stops =
                    fleet.scope.launch {
                        delay(BEFORE_STOP_MILLIS)
                        fleet.stopInstance(0)
                        fleet.restartInstance(0)
                    }
                run(play, record, "kind=$kind servers=${servers.size} instances=$INSTANCES")
                stops.join()
            }
            servers.indices.forEach { fleet.store.remove("servers/s$seed-$it") }
            servers.forEach { it.close() }
        }
        expectOwnAnswers("kind=$kind instances=$INSTANCES")
    }

    @Test
    fun `no booking gets an answer that is not its own while an instance stops`() {
        playOnFleet("non_idempotent", "reserve")
    }

    @Test
    fun `no look-up gets an answer that is not its own while an instance stops`() = playOnFleet("idempotent", "lookup")

    private companion object {
        const val SEEDS = 3L
        const val SERVERS = 3L

        /** In a seed. Few calls are answered by a server that stutters. */
        const val LEAST_SERVED = 20
        const val INSTANCES = 2
        const val CALLS_ON_FLEET = 30
        const val BEFORE_STOP_MILLIS = 500L
    }
}
