package lacewingweir.platform

import io.netty.handler.codec.http.HttpHeaders
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import lacewingweir.testing.FaultProxy
import lacewingweir.testing.eventually
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expect
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger

/**
 * Plays instances that lose their paths to all servers, while callers, the store and the other instances still reach
 * them. Guards against callers of such an instance who get nothing though the others reach the servers.
 */
@Timeout(60)
internal class CutOffInstanceTest {
    /** What becomes of the paths between an instance and the servers. */
    private enum class Cut(
        val begin: (FaultProxy) -> Unit,
    ) {
        /** Established connections fall silent, and new ones time out. */
        HANG(FaultProxy::hang),

        /** Established connections are reset, and new ones refused. */
        RESET(FaultProxy::reset),

        /** Established connections live on, and new ones are refused. */
        REFUSE(FaultProxy::refuseConnections),
    }

    /** The paths between each instance and each server. */
    private class Paths : AutoCloseable {
        private val proxies = ConcurrentHashMap<Pair<Int, String>, FaultProxy>()
        private val calls = ConcurrentHashMap<Int, AtomicInteger>()

        fun path(
            instance: Int,
            address: String,
        ): String {
            val proxy =
                proxies.computeIfAbsent(instance to address) {
                    FaultProxy(address.substringAfter(':').toInt()) { count(instance, it.decodeToString()) }
                }
            return "127.0.0.1:${proxy.port}"
        }

        private fun count(
            instance: Int,
            text: String,
        ) {
            if (CALL_PATHS.any { "POST $it" in text }) counter(instance).incrementAndGet()
        }

        private fun counter(instance: Int) = calls.computeIfAbsent(instance) { AtomicInteger() }

        /** Number of calls that the servers got from [instance]. */
        fun callsFrom(instance: Int): Int = counter(instance).get()

        suspend fun cut(
            cut: Cut,
            instances: Iterable<Int>,
        ) = coroutineScope {
            proxies.filterKeys { it.first in instances }.values.forEach { launch(Dispatchers.IO) { cut.begin(it) } }
        }

        suspend fun heal() = withContext(Dispatchers.IO) { proxies.values.forEach { it.restore() } }

        override fun close() = proxies.values.forEach { it.close() }
    }

    private class Play(
        val fleet: RouterFleet,
        val paths: Paths,
    ) {
        private val numbers = AtomicInteger()

        fun body(prefix: String) = "$prefix-${numbers.incrementAndGet()}"

        fun runs(body: String) = fleet.desks.sumOf { desk -> desk.arrivals.count { it.body == body } }
    }

    private fun play(
        instances: Int = INSTANCES,
        config: String = RouterFleet.CONFIG,
        play: suspend Play.() -> Unit,
    ): Unit =
        runBlocking {
            Paths().use { paths ->
                RouterFleet(instances, SERVERS, SERVERS, pathToServer = paths::path, config = config).use { fleet ->
                    fleet.start()
                    Play(fleet, paths).play()
                }
            }
        }

    private enum class Kind {
        LOOK_UP,
        BOOKING,
        STREAM,
    }

    private class Outcome(
        val kind: Kind,
        val instance: Int,
        val atMillis: Long,
        val status: Int,
        val served: Boolean,
        val millis: Long,
        val body: String,
    )

    private suspend fun Play.send(
        kind: Kind,
        instance: Int,
        startMillis: Long,
    ): Outcome {
        val atMillis = StandinPromptEngine.nowMillis()
        val body = body(kind.name)
        val (status, served) =
            when (kind) {
                Kind.LOOK_UP -> fleet.lookUp(instance, body).let { it.status to (it.status == 200 && it.body == body) }
                Kind.BOOKING ->
                    fleet.lookUp(instance, body, BOOK).let {
                        it.status to
                            (it.status == 200 && it.body == body)
                    }
                Kind.STREAM -> fleet.stream(instance).let { it.status to (it.complete && it.events.size == EVENTS) }
            }
        val millis = StandinPromptEngine.nowMillis() - atMillis
        return Outcome(kind, instance, atMillis - startMillis, status, served, millis, body)
    }

    /** Sends calls of all kinds to [instances] for [forMillis]. */
    private suspend fun Play.load(
        instances: Iterable<Int>,
        forMillis: Long,
        kinds: List<Kind> = Kind.entries,
    ): List<Outcome> {
        val outcomes = CopyOnWriteArrayList<Outcome>()
        val start = StandinPromptEngine.nowMillis()
        coroutineScope {
            while (StandinPromptEngine.nowMillis() - start < forMillis) {
                for (index in instances) {
                    for (kind in kinds) launch { outcomes += send(kind, index, start) }
                }
                delay(CALL_PERIOD_MILLIS)
            }
        }
        return outcomes
    }

    private fun share(outcomes: List<Outcome>) = outcomes.count { it.served }.toDouble() / outcomes.size

    private fun describe(outcomes: List<Outcome>): String {
        val statuses =
            outcomes
                .filter { !it.served }
                .groupingBy { it.status }
                .eachCount()
                .toSortedMap()
        return "${outcomes.count { it.served }} of ${outcomes.size} served, others by status $statuses, " +
            "longest ${outcomes.maxOf { it.millis }} ms"
    }

    /** Cuts two of four instances off from all servers. */
    private fun playCut(cut: Cut) =
        play {
            // The instances have connections to lose.
            load(0 until INSTANCES, WARM_UP_MILLIS)
            paths.cut(cut, CUT_OFF)
            // Connections that live on are closed when they have been idle.
            if (cut == Cut.REFUSE) delay(IDLE_MILLIS)
            val outcomes = load(0 until INSTANCES, CUT_MILLIS)
            paths.heal()
            delay(RUN_NOTICE_MILLIS)
            val settled = outcomes.filter { it.atMillis >= CONTACT_MILLIS }
            val shares =
                Kind.entries.associateWith { kind ->
                    val (cutOff, others) = settled.filter { it.kind == kind }.partition { it.instance in CUT_OFF }
                    println(
                        "cut off ($cut), $kind: at the cut instances ${describe(cutOff)}; others ${describe(others)}",
                    )
                    share(cutOff) to share(others)
                }
            expect {
                that(outcomes.filter { it.kind == Kind.BOOKING && runs(it.body) > 1 }).isEmpty()
                that(refusedAfterRun(outcomes)).isEmpty()
                for ((kind, share) in shares) {
                    that(share.second).describedAs("$kind at the others").isGreaterThan(LEAST_SHARE_AT_OTHERS)
                    that(share.first).describedAs("$kind").isGreaterThanOrEqualTo(share.second * LEAST_RELATIVE_SHARE)
                }
            }
        }

    /** Returns the bookings that ran though their caller was promised that they never would. */
    private fun Play.refusedAfterRun(outcomes: List<Outcome>) =
        outcomes.filter { it.kind == Kind.BOOKING && it.status in PROMISES && runs(it.body) > 0 }.map { it.body }

    @Test
    fun `calls at instances whose connections to all servers hang are served`() = playCut(Cut.HANG)

    @Test
    fun `calls at instances whose connections to all servers are reset are served`() = playCut(Cut.RESET)

    @Test
    fun `calls at instances whose new connections to all servers are refused are served`() = playCut(Cut.REFUSE)

    private fun playHealed(cut: Cut) =
        play(instances = 3) {
            load(0..2, WARM_UP_MILLIS)
            paths.cut(cut, listOf(0))
            load(listOf(0), HEALED_CUT_MILLIS)
            paths.heal()
            delay(CONTACT_MILLIS)
            val before = paths.callsFrom(0)
            val outcomes = load(listOf(0), 1_000)
            val sent = paths.callsFrom(0) - before
            println("healed ($cut): ${describe(outcomes)}; $sent sent by the instance itself")
            expect {
                that(share(outcomes)).isGreaterThan(LEAST_SHARE_AT_OTHERS)
                that(sent).isGreaterThan((outcomes.size * LEAST_SHARE_AT_OTHERS).toInt())
            }
        }

    @Test
    fun `an instance whose connections were reset sends to its own servers again`() = playHealed(Cut.RESET)

    @Test
    fun `an instance whose connections hung sends to its own servers again`() = playHealed(Cut.HANG)

    /** No instance reaches a server, so no other instance can serve a call. */
    private fun playOutage(begin: suspend Play.() -> Unit) =
        play(instances = 3) {
            load(0..2, WARM_UP_MILLIS)
            begin()
            val settled = load(0..2, OUTAGE_MILLIS).filter { it.atMillis >= CONTACT_MILLIS }
            for (kind in Kind.entries) println("outage, $kind: ${describe(settled.filter { it.kind == kind })}")
            expect {
                that(settled.map { it.status }.distinct()).isEqualTo(listOf(503))
                that(settled.maxOf { it.millis }).isLessThan(LONGEST_REFUSAL_MILLIS)
            }
        }

    @Test
    fun `calls are refused soon if no instance reaches a server because all are down`() =
        playOutage {
            (fleet.engines + fleet.desks).forEach { it.close() }
            paths.cut(Cut.RESET, 0..2)
        }

    @Test
    fun `calls are refused soon if all connections of all instances to servers hang`() =
        playOutage { paths.cut(Cut.HANG, 0..2) }

    /** Bookings are sent to an instance that is cut off, while one of the two others ends by [end]. */
    private fun playEnd(end: suspend RouterFleet.() -> Unit) =
        play(instances = 3) {
            load(0..2, WARM_UP_MILLIS)
            fleet.desks.forEach { it.prefillMillis = DESK_MILLIS }
            paths.cut(Cut.RESET, listOf(0))
            val outcomes =
                coroutineScope {
                    val bookings = async { load(listOf(0), END_PLAY_MILLIS, listOf(Kind.BOOKING)) }
                    delay(END_AFTER_MILLIS)
                    fleet.end()
                    bookings.await()
                }
            delay(RUN_NOTICE_MILLIS)
            println("end of another instance: ${describe(outcomes)}, ${outcomes.count { runs(it.body) > 0 }} ran")
            expect {
                that(outcomes.filter { runs(it.body) > 1 }.map { it.body }).isEmpty()
                that(refusedAfterRun(outcomes)).isEmpty()
                that(share(outcomes)).isGreaterThanOrEqualTo(LEAST_RELATIVE_SHARE)
            }
        }

    @Test
    fun `a booking that was passed on runs at most once if the other instance is killed`() = playEnd { killInstance(1) }

    @Test
    fun `a booking that was passed on runs at most once if the other instance stops`() = playEnd { stopInstance(1) }

    /** Opens a call at an instance that is cut off, and leaves while it runs. */
    private fun playLeavingCaller(
        path: String,
        headers: String,
        slow: (StandinPromptEngine) -> Unit,
    ) = play(instances = 3) {
        paths.cut(Cut.RESET, listOf(0))
        load(listOf(0), SETTLE_MILLIS, listOf(Kind.LOOK_UP, Kind.STREAM))
        val servers = fleet.engines + fleet.desks
        servers.forEach(slow)
        val answeredBefore = servers.sumOf { it.answered.get() }
        withContext(Dispatchers.IO) {
            Socket(fleet.host(0), RouterFleet.CALLER_PORT).use { socket ->
                val head = "POST $path HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 00000000000000ab\r\nX-Api-Key: k1\r\n"
                val rest = "Deadline-Ms: 3000\r\n${headers}Content-Length: 7\r\n\r\nleaving"
                socket.getOutputStream().write((head + rest).encodeToByteArray())
                eventually("the call reaches a server") { servers.any { s -> s.arrivals.any { it.body == "leaving" } } }
                delay(LEAVE_AFTER_MILLIS)
            }
        }
        delay(RUN_MILLIS)
        expect {
            that(servers.sumOf { s -> s.arrivals.count { it.body == "leaving" } }).isEqualTo(1)
            that(servers.sumOf { it.answered.get() }).describedAs("runs to the end").isEqualTo(answeredBefore)
        }
    }

    @Test
    fun `a look-up that was passed on ends at its server when its caller leaves`() =
        playLeavingCaller("/lookup/x", "") { it.prefillMillis = RUN_MILLIS - LEAVE_AFTER_MILLIS }

    @Test
    fun `a stream that was passed on ends at its server when its caller leaves`() =
        playLeavingCaller("/tag/x", "Model: m\r\nToken-Counts: 300,20\r\nPrompt-Prefix: sys:100,leaving:100\r\n") {
            it.events = (RUN_MILLIS / EVENT_MILLIS).toInt()
            it.eventMillis = EVENT_MILLIS
        }

    /** Headers that belong to one connection or one call. */
    private fun common(headers: HttpHeaders) =
        headers
            .entries()
            .map { it.key.lowercase() to it.value }
            .filter { it.first !in setOf("attempt-id", "date", "keep-alive") }
            .sortedBy { it.first }

    @Test
    fun `answers and failures of servers pass through the other instance unchanged`() =
        play(instances = 3) {
            fleet.desks.forEach { desk -> desk.status = { it.substringBefore(':').toInt() } }
            paths.cut(Cut.RESET, listOf(0))
            load(listOf(0), SETTLE_MILLIS, listOf(Kind.STREAM))
            for (status in listOf(200, 201, 404, 500)) {
                for (size in listOf(1, LARGE_BODY)) {
                    val body = "$status:" + "x".repeat(size)
                    val own = fleet.lookUp(2, body, BOOK)
                    val passed = fleet.lookUp(0, body, BOOK)
                    println("answer $status of $size: ${passed.status}, ${common(passed.headers)}")
                    expect {
                        that(own.status).isEqualTo(status)
                        that(passed.status).isEqualTo(status)
                        that(passed.body == body && passed.complete).describedAs("body whole").isEqualTo(true)
                        that(common(passed.headers)).isEqualTo(common(own.headers))
                        that(passed.headers.getAll("Attempt-Id").size).isEqualTo(1)
                        that(passed.headers.get("Attempt-Id")).isEqualTo("%016x".format(fleet.lastNumber))
                    }
                }
            }
        }

    /** Both customers have the same rate; one calls an instance that is cut off. */
    @Test
    fun `a customer's rate is charged once for a call that is passed on`() =
        play(instances = 3, config = RATED_CONFIG) {
            paths.cut(Cut.RESET, listOf(0))
            load(listOf(0), SETTLE_MILLIS, listOf(Kind.STREAM, Kind.LOOK_UP))
            val statuses =
                listOf(0 to "k3", 2 to "k4").map { (instance, key) ->
                    coroutineScope {
                        List(RATED_CALLS) {
                            delay(RATED_PERIOD_MILLIS)
                            async { fleet.lookUp(instance, "rated", key = key).status }
                        }.awaitAll()
                    }
                }
            val (passed, own) = statuses.map { all -> all.count { it == 200 } }
            println("rate: $passed passed on, $own at an instance that reaches servers, of $RATED_CALLS each")
            expect {
                that(statuses[1].toSet()).isEqualTo(setOf(200, 429))
                that(passed.toDouble() / own).isGreaterThan(1 - RATE_TOLERANCE).isLessThan(1 + RATE_TOLERANCE)
            }
        }

    @Test
    fun `calls with a wrong key or path are refused by an instance that is cut off`() =
        play(instances = 3) {
            paths.cut(Cut.RESET, listOf(0))
            load(listOf(0), SETTLE_MILLIS, listOf(Kind.STREAM))
            for (path in listOf("/lookup/x", BOOK)) {
                expectThat(fleet.lookUp(0, "wrong key", path, key = "none").status).isEqualTo(401)
            }
            expectThat(fleet.lookUp(0, "wrong path", "/none/x").status).isEqualTo(404)
        }

    private companion object {
        const val BOOK = "/reserve/x"
        val CALL_PATHS = listOf("/tag/", "/lookup/", "/reserve/")
        const val INSTANCES = 4
        const val SERVERS = 3
        val CUT_OFF = listOf(0, 1)
        const val EVENTS = 3
        const val CALL_PERIOD_MILLIS = 80L
        const val WARM_UP_MILLIS = 500L

        /** Time after which the other instances are expected to stand in. */
        const val CONTACT_MILLIS = 3_000L
        const val CUT_MILLIS = 5_500L
        const val IDLE_MILLIS = 500L
        const val HEALED_CUT_MILLIS = 3_500L
        const val OUTAGE_MILLIS = 4_500L
        const val SETTLE_MILLIS = 1_500L

        /** Time after which a run is seen even if it begins late. */
        const val RUN_NOTICE_MILLIS = 600L
        const val LEAST_RELATIVE_SHARE = 2.0 / 3
        const val LEAST_SHARE_AT_OTHERS = 0.9
        const val LONGEST_REFUSAL_MILLIS = 1_500L
        val PROMISES = setOf(429, 503)
        const val DESK_MILLIS = 300L
        const val END_AFTER_MILLIS = 2_500L
        const val END_PLAY_MILLIS = 4_500L
        const val RUN_MILLIS = 1_500L
        const val LEAVE_AFTER_MILLIS = 300L
        const val EVENT_MILLIS = 50L
        const val LARGE_BODY = 200_000
        const val RATED_CALLS = 60
        const val RATED_PERIOD_MILLIS = 20L
        const val RATE_TOLERANCE = 0.3
        val RATED_CONFIG =
            RouterFleet.CONFIG.replace(
                """{"name":"zeta","apiKeys":["k2"]}""",
                """{"name":"cut","apiKeys":["k3"],"ratePerS":0.5,"burst":30},
                {"name":"own","apiKeys":["k4"],"ratePerS":0.5,"burst":30}""",
            )
    }
}
