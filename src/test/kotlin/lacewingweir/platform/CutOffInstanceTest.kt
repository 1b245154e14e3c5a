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
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.Timeout
import strikt.api.expect
import strikt.api.expectThat
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
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
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
    ) : AutoCloseable {
        private val numbers = AtomicInteger()

        fun body(prefix: String) = "$prefix-${numbers.incrementAndGet()}"

        fun runs(body: String) = arrivals(fleet.desks, body)

        override fun close() {
            fleet.close()
            paths.close()
        }
    }

    private fun newPlay(instances: Int): Play {
        val paths = Paths()
        return Play(RouterFleet(instances, SERVERS, SERVERS, pathToServer = paths::path, config = CONFIG), paths)
    }

    /** Instances and servers that all outlive a play. */
    private val shared = lazy { newPlay(INSTANCES).also { runBlocking { it.fleet.start() } } }

    @AfterAll
    fun close() {
        if (shared.isInitialized()) shared.value.close()
    }

    private fun play(play: suspend Play.() -> Unit): Unit =
        runBlocking {
            shared.value.recover()
            shared.value.play()
        }

    /** Plays with [instances] and servers of its own, which may end. */
    private fun playAlone(
        instances: Int,
        play: suspend Play.() -> Unit,
    ): Unit =
        newPlay(instances).use {
            runBlocking {
                it.fleet.start()
                it.play()
            }
        }

    /** Undoes what another play did, and waits until all instances send to the servers themselves. */
    private suspend fun Play.recover() {
        paths.heal()
        for (server in fleet.engines + fleet.desks) {
            server.prefillMillis = PREFILL_MILLIS
            server.events = EVENTS
            server.eventMillis = 0
            server.status = { 200 }
        }
        for (index in 0 until INSTANCES) {
            eventually("instance $index sends to the servers") {
                val before = paths.callsFrom(index)
                val outcomes = Kind.entries.map { send(it, index, 0) }
                outcomes.all { it.served } && paths.callsFrom(index) - before == outcomes.size
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

    /** What callers got while each cut lasted at an instance of its own, and after it had healed. */
    private class CutResults(
        val during: List<Outcome>,
        val after: List<Outcome>,
        /** Number of calls that the servers got from each instance after the cut. */
        val sentAfter: Map<Int, Int>,
        val ranTwice: List<String>,
        val refusedAfterRun: List<String>,
    )

    private val cutResults =
        lazy {
            runBlocking {
                shared.value.recover()
                shared.value.playCuts()
            }
        }

    /** Cuts an instance off in each way at the same time, while the others reach all servers. */
    private suspend fun Play.playCuts(): CutResults =
        coroutineScope {
            // The instances have connections to lose.
            load(0 until INSTANCES, WARM_UP_MILLIS)
            for (cut in Cut.entries) launch { paths.cut(cut, listOf(cut.ordinal)) }
            val refused =
                async {
                    // Connections that live on are closed when they have been idle.
                    delay(IDLE_MILLIS)
                    load(listOf(Cut.REFUSE.ordinal), CUT_MILLIS)
                }
            val during = load((0 until INSTANCES) - Cut.REFUSE.ordinal, CUT_MILLIS) + refused.await()
            paths.heal()
            delay(CONTACT_MILLIS)
            val before = Cut.entries.map { paths.callsFrom(it.ordinal) }
            val after = load(Cut.entries.map { it.ordinal }, HEALED_MILLIS)
            delay(RUN_NOTICE_MILLIS)
            CutResults(
                during.filter { it.atMillis >= CONTACT_MILLIS },
                after,
                Cut.entries.associate { it.ordinal to paths.callsFrom(it.ordinal) - before[it.ordinal] },
                (during + after).filter { it.kind == Kind.BOOKING && runs(it.body) > 1 }.map { it.body },
                refusedAfterRun(during + after),
            )
        }

    private fun expectServed(cut: Cut) {
        val results = cutResults.value
        val shares =
            Kind.entries.associateWith { kind ->
                val outcomes = results.during.filter { it.kind == kind }
                val cutOff = outcomes.filter { it.instance == cut.ordinal }
                val others = outcomes.filter { it.instance >= Cut.entries.size }
                println("cut off ($cut), $kind: at the cut instance ${describe(cutOff)}; others ${describe(others)}")
                share(cutOff) to share(others)
            }
        expect {
            that(results.ranTwice).isEmpty()
            that(results.refusedAfterRun).isEmpty()
            for ((kind, share) in shares) {
                that(share.second).describedAs("$kind at the others").isGreaterThan(LEAST_SHARE_AT_OTHERS)
                that(share.first).describedAs("$kind").isGreaterThanOrEqualTo(share.second * LEAST_RELATIVE_SHARE)
            }
        }
    }

    private fun expectHealed(cut: Cut) {
        val outcomes = cutResults.value.after.filter { it.instance == cut.ordinal }
        val sent = cutResults.value.sentAfter.getValue(cut.ordinal)
        println("healed ($cut): ${describe(outcomes)}; $sent sent by the instance itself")
        expect {
            that(share(outcomes)).isGreaterThan(LEAST_SHARE_AT_OTHERS)
            that(sent).isGreaterThan((outcomes.size * LEAST_SHARE_AT_OTHERS).toInt())
        }
    }

    /** Returns the bookings that ran though their caller was promised that they never would. */
    private fun Play.refusedAfterRun(outcomes: List<Outcome>) =
        outcomes.filter { it.kind == Kind.BOOKING && it.status in PROMISES && runs(it.body) > 0 }.map { it.body }

    @Test
    fun `calls at an instance whose connections to all servers hang are served`() = expectServed(Cut.HANG)

    @Test
    fun `calls at an instance whose connections to all servers are reset are served`() = expectServed(Cut.RESET)

    @Test
    fun `calls at an instance whose new connections to all servers are refused are served`() = expectServed(Cut.REFUSE)

    @Test
    fun `an instance whose connections hung sends to its own servers again`() = expectHealed(Cut.HANG)

    @Test
    fun `an instance whose connections were reset sends to its own servers again`() = expectHealed(Cut.RESET)

    @Test
    fun `an instance whose connections were refused sends to its own servers again`() = expectHealed(Cut.REFUSE)

    /** No instance reaches a server, so no other instance can serve a call. */
    private suspend fun Play.playOutage(begin: suspend Play.() -> Unit) {
        load(0 until INSTANCES, WARM_UP_MILLIS)
        begin()
        val settled = load(0 until INSTANCES, OUTAGE_MILLIS).filter { it.atMillis >= CONTACT_MILLIS }
        for (kind in Kind.entries) println("outage, $kind: ${describe(settled.filter { it.kind == kind })}")
        expect {
            that(settled.map { it.status }.distinct()).isEqualTo(listOf(503))
            that(settled.maxOf { it.millis }).isLessThan(LONGEST_REFUSAL_MILLIS)
        }
    }

    @Test
    fun `calls are refused soon if no instance reaches a server because all are down`() =
        playAlone(INSTANCES) {
            playOutage {
                (fleet.engines + fleet.desks).forEach { it.close() }
                paths.cut(Cut.RESET, 0 until INSTANCES)
            }
        }

    @Test
    fun `calls are refused soon if all connections of all instances to servers hang`() =
        play { playOutage { paths.cut(Cut.HANG, 0 until INSTANCES) } }

    /** Bookings are sent to an instance that is cut off, while one of the two others ends by [end]. */
    private fun playEnd(end: suspend RouterFleet.() -> Unit) =
        playAlone(instances = 3) {
            load(0..2, WARM_UP_MILLIS)
            fleet.desks.forEach { it.prefillMillis = DESK_MILLIS }
            paths.cut(Cut.RESET, listOf(0))
            val early = load(listOf(0), CONTACT_MILLIS, listOf(Kind.BOOKING))
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
                that((early + outcomes).filter { runs(it.body) > 1 }.map { it.body }).isEmpty()
                that(refusedAfterRun(early + outcomes)).isEmpty()
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
    ) = play {
        paths.cut(Cut.RESET, listOf(0))
        load(listOf(0), CONTACT_MILLIS, listOf(Kind.LOOK_UP, Kind.STREAM))
        val servers = fleet.engines + fleet.desks
        servers.forEach(slow)
        val body = body("leaving")
        val answeredBefore = servers.sumOf { it.answered.get() }
        withContext(Dispatchers.IO) {
            Socket(fleet.host(0), RouterFleet.CALLER_PORT).use { socket ->
                val head = "POST $path HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: abcdef0123456789\r\nX-Api-Key: k1\r\n"
                val rest = "Deadline-Ms: 3000\r\n${headers}Content-Length: ${body.length}\r\n\r\n$body"
                socket.getOutputStream().write((head + rest).encodeToByteArray())
                eventually("the call reaches a server") { arrivals(servers, body) > 0 }
                delay(LEAVE_AFTER_MILLIS)
            }
        }
        delay(RUN_MILLIS)
        expect {
            that(arrivals(servers, body)).isEqualTo(1)
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

    /** No connection is open when the paths are cut, so some calls wait for one when their instance finds that out. */
    @Test
    fun `calls that were not sent yet when their instance was found to be cut off are served`() =
        play {
            load(0 until INSTANCES, WARM_UP_MILLIS)
            delay(IDLE_MILLIS)
            paths.cut(Cut.HANG, listOf(0))
            val statuses =
                coroutineScope {
                    List(UNSENT_CALLS) {
                        delay(UNSENT_PERIOD_MILLIS)
                        async { fleet.lookUp(0, body("unsent"), "/once/x").status }
                    }.awaitAll()
                }
            println("while the cut is detected: statuses=${statuses.groupingBy { it }.eachCount()}")
            expectThat(statuses.filter { it != 200 }).isEmpty()
        }

    /** The paths are cut while engines prefill the prompts, whose answers they break off. */
    @Test
    fun `a call that is passed on after a send reaches no more endpoints than its route allows`() =
        play {
            load(0 until INSTANCES, WARM_UP_MILLIS)
            for (engine in fleet.engines) {
                engine.prefillMillis = BROKEN_OFF_MILLIS
                engine.brokenOffParts = setOf(BROKEN_OFF_PART)
            }
            val statuses =
                coroutineScope {
                    val calls = List(PASSED_CALLS) { async { fleet.call(0, "$BROKEN_OFF_PART:100").status } }
                    eventually("the calls reach engines") { fleet.engines.sumOf { brokenOff(it).size } >= PASSED_CALLS }
                    paths.cut(Cut.HANG, listOf(0))
                    calls.awaitAll()
                }
            val sends =
                fleet.engines
                    .flatMap(::brokenOff)
                    .groupingBy { it.requestId }
                    .eachCount()
            fleet.engines.forEach { it.brokenOffParts = emptySet() }
            val callsBySends = sends.values.groupingBy { it }.eachCount()
            println("passed on after a send: statuses=$statuses, calls by number of sends $callsBySends")
            expect {
                that(sends.values.max()).isGreaterThan(1)
                that(sends.filterValues { it > MAX_TAG_ENDPOINTS }).isEmpty()
            }
        }

    private fun brokenOff(engine: StandinPromptEngine) = engine.arrivals.filter { BROKEN_OFF_PART in it.parts }

    @Test
    fun `answers and failures of servers pass through the other instance unchanged`() =
        play {
            fleet.desks.forEach { desk -> desk.status = { it.substringBefore(':').toInt() } }
            paths.cut(Cut.RESET, listOf(0))
            load(listOf(0), CONTACT_MILLIS, listOf(Kind.STREAM))
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
        play {
            paths.cut(Cut.RESET, listOf(0))
            load(listOf(0), CONTACT_MILLIS, listOf(Kind.STREAM, Kind.LOOK_UP))
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
        play {
            paths.cut(Cut.RESET, listOf(0))
            load(listOf(0), CONTACT_MILLIS, listOf(Kind.STREAM))
            for (path in listOf("/lookup/x", BOOK)) {
                expectThat(fleet.lookUp(0, "wrong key", path, key = "none").status).isEqualTo(401)
            }
            expectThat(fleet.lookUp(0, "wrong path", "/none/x").status).isEqualTo(404)
        }

    private companion object {
        fun arrivals(
            servers: List<StandinPromptEngine>,
            body: String,
        ) = servers.sumOf { server -> server.arrivals.count { it.body == body } }

        const val BOOK = "/reserve/x"
        val CALL_PATHS = listOf("/tag/", "/lookup/", "/reserve/")
        const val INSTANCES = 5
        const val SERVERS = 3
        const val EVENTS = 3
        const val CALL_PERIOD_MILLIS = 80L
        const val WARM_UP_MILLIS = 500L

        /** Time after which the other instances are expected to stand in. */
        const val CONTACT_MILLIS = 3_000L
        const val CUT_MILLIS = 4_600L
        const val IDLE_MILLIS = 500L
        const val HEALED_MILLIS = 1_000L
        const val OUTAGE_MILLIS = 4_000L

        /** Time after which a run is seen even if it begins late. */
        const val RUN_NOTICE_MILLIS = 600L
        const val LEAST_RELATIVE_SHARE = 2.0 / 3
        const val LEAST_SHARE_AT_OTHERS = 0.9
        const val LONGEST_REFUSAL_MILLIS = 1_500L
        val PROMISES = setOf(429, 503)
        const val DESK_MILLIS = 300L
        const val END_AFTER_MILLIS = 1_000L
        const val END_PLAY_MILLIS = 3_000L
        const val RUN_MILLIS = 1_500L
        const val LEAVE_AFTER_MILLIS = 300L
        const val EVENT_MILLIS = 50L
        const val LARGE_BODY = 200_000
        const val UNSENT_CALLS = 60
        const val UNSENT_PERIOD_MILLIS = 20L
        const val PASSED_CALLS = 5
        const val BROKEN_OFF_PART = "b0"
        const val BROKEN_OFF_MILLIS = 800L
        const val MAX_TAG_ENDPOINTS = 2
        const val RATED_CALLS = 60
        const val RATED_PERIOD_MILLIS = 20L
        const val RATE_TOLERANCE = 0.3
        const val PREFILL_MILLIS = 10L
        const val ONE_ATTEMPT_ROUTE =
            """{"name":"once","host":"h.example","prefix":"/once/","kind":"idempotent","timeoutMs":3000,
            "latencyTargetMs":500,"priority":0,"service":"desk","maxAttempts":1,"public":false}"""
        val CONFIG =
            RouterFleet.CONFIG
                .replace(
                    """{"name":"zeta","apiKeys":["k2"]}""",
                    """{"name":"cut","apiKeys":["k3"],"ratePerS":0.5,"burst":30},
                    {"name":"own","apiKeys":["k4"],"ratePerS":0.5,"burst":30}""",
                ).replace(
                    """"routes":[""",
                    """"routes":[$ONE_ATTEMPT_ROUTE,""",
                )
    }
}
