package lacewingweir.platform

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import lacewingweir.testing.RepeatWindows
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expect
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random

/**
 * Plays sound servers that fall silent for a second again and again while the configuration changes, drawn from a seed.
 * A silent server reads later what it was sent meanwhile.
 *
 * More seeds are played by hand: `mvn test -Dtest=SilentServersTest -Dsilence.first=4 -Dsilence.seeds=50`.
 */
@Timeout(3_600)
internal class SilentServersTest {
    private enum class Kind(
        val service: String,
        val perSecond: Double,
    ) {
        TAG("engine", perSecond = 36.0),
        LOOK_UP("desk", perSecond = 12.0),
        BOOKING("desk", perSecond = 10.0),
    }

    private class Outcome(
        val kind: Kind,
        val sentAtMillis: Long,
        val status: Int,
        val complete: Boolean,
        val millis: Long,
    )

    /** What is drawn for a play. */
    private class Draw(
        private val seed: Long,
    ) {
        private val random = Random(seed)
        val timeoutMillis = if (random.nextBoolean()) 1_000L else 3_000L
        val share = random.nextDouble(0.6, 1.0)
        val periodMillis = random.nextLong(3_000, 11_000)
        val failing = if (random.nextBoolean()) random.nextDouble(0.3, 0.9) else 0.0
        val repeatExtra = listOf(5.0, 20.0, 56.0).random(random)

        /** Returns a generator of its own for each [part] of the play, since the parts run beside each other. */
        fun randomOf(part: String) = Random(seed + part.hashCode())

        override fun toString() =
            "timeoutMs=$timeoutMillis share=%.2f periodMs=$periodMillis failing=%.2f extra=$repeatExtra"
                .format(share, failing)
    }

    private class Play(
        val draw: Draw,
        val fleet: RouterFleet,
    ) {
        val outcomes = CopyOnWriteArrayList<Outcome>()

        suspend fun run() =
            coroutineScope {
                val disturbances = listOf(launch { silences() }, launch { changes() })
                Kind.entries.map { launch { load(it) } }.joinAll()
                disturbances.forEach { it.cancel() }
            }

        private suspend fun silences() {
            val random = draw.randomOf("silences")
            while (true) {
                delay(draw.periodMillis)
                for (servers in listOf(fleet.engines, fleet.desks)) {
                    val silent = servers.shuffled(random).take((servers.size * draw.share + 0.5).toInt())
                    val millis = random.nextLong(1_000, 1_400)
                    silent.forEach { it.fallSilent(millis) }
                }
            }
        }

        private suspend fun changes() {
            val random = draw.randomOf("changes")
            var version = 1
            while (true) {
                delay(draw.periodMillis - CHANGE_BEFORE_SILENCE_MILLIS)
                version++
                fleet.store.write("op/config", config(version, random))
                delay(CHANGE_BEFORE_SILENCE_MILLIS)
            }
        }

        private suspend fun CoroutineScope.load(kind: Kind) {
            val random = draw.randomOf(kind.name)
            val start = StandinPromptEngine.nowMillis()
            var number = 0
            while (true) {
                val atMillis = (number++ * 1_000 / kind.perSecond).toLong()
                if (atMillis > PLAY_MILLIS) return
                delay(start + atMillis - StandinPromptEngine.nowMillis())
                val instance = random.nextInt(INSTANCES)
                launch { outcomes += send(kind, instance) }
            }
        }

        private suspend fun send(
            kind: Kind,
            instance: Int,
        ): Outcome {
            val sentAt = StandinPromptEngine.nowMillis()
            val (status, complete) =
                when (kind) {
                    Kind.TAG -> fleet.stream(instance).let { it.status to it.complete }
                    Kind.LOOK_UP -> request(instance, "/lookup/x")
                    Kind.BOOKING -> request(instance, BOOKING_PATH)
                }
            return Outcome(kind, sentAt, status, complete, StandinPromptEngine.nowMillis() - sentAt)
        }

        private suspend fun request(
            instance: Int,
            path: String,
        ): Pair<Int, Boolean> {
            val response = fleet.lookUp(instance, body = path, path, timeoutMillis = draw.timeoutMillis)
            return response.status to response.complete
        }

        private fun endpoints(service: String) = if (service == "engine") fleet.engines else fleet.desks

        fun greatestUse(service: String): Double {
            val repeats = StandinPromptEngine.repeatTimes(endpoints(service))
            val requests = outcomes.filter { it.kind.service == service }.map { it.sentAtMillis }
            println("silence: service=$service requests=${requests.size} repeats=${repeats.size}")
            return RepeatWindows(WINDOW_MILLIS, ratio = 0.2, extra = draw.repeatExtra).greatestUse(requests, repeats)
        }

        private fun arrivals(service: String) = endpoints(service).flatMap { it.arrivals }.groupBy { it.requestId }

        private fun maxAttempts(request: StandinPromptEngine.Arrival) = if (request.body == BOOKING_PATH) 1 else 2

        /** Requests that were received more often than their routes allow. */
        fun excess(): List<String> =
            listOf("engine", "desk").flatMap { service ->
                arrivals(service).filterValues { it.size > maxAttempts(it.first()) }.keys
            }

        /**
         * Returns how many requests arrived a second time over half a second late, and how many of these with more time
         * than the first arrival and the caller had left.
         */
        fun givenTooMuchTime(): Pair<Int, Int> {
            val late =
                arrivals("desk").values.mapNotNull { unsorted ->
                    val arrivals = unsorted.sortedBy { it.atMillis }
                    val first = arrivals.first()
                    arrivals
                        .drop(
                            1,
                        ).firstOrNull { it.atMillis - first.atMillis > TOLERATED_MILLIS }
                        ?.let { first to it }
                }
            val tooMuch =
                late.count { (first, again) ->
                    val callerEnd = first.atMillis + draw.timeoutMillis
                    val allowedEnd = maxOf(first.atMillis + first.leftMillis, callerEnd) + TOLERATED_MILLIS
                    again.atMillis + again.leftMillis > allowedEnd
                }
            return late.size to tooMuch
        }

        /** Calls that failed before their time was over, though all servers are sound. */
        fun endedEarly(): List<Outcome> =
            outcomes.filter {
                val timeout = if (it.kind == Kind.TAG) TAG_TIMEOUT_MILLIS else draw.timeoutMillis
                val failed = it.status !in SERVED_OR_REFUSED || (it.status == 200 && !it.complete)
                failed && it.millis < timeout - END_MARGIN_MILLIS
            }
    }

    @Test
    fun `repeats pile up at servers that are silent for a second`() {
        val first = System.getProperty("silence.first")?.toLong() ?: 1
        val seeds = first until first + (System.getProperty("silence.seeds")?.toLong() ?: SEEDS)
        val uses = ArrayList<Double>()
        val excess = ArrayList<String>()
        val early = ArrayList<String>()
        for (seed in seeds) {
            val play = play(seed)
            val use = listOf("engine", "desk").associateWith { play.greatestUse(it) }
            val ended = play.endedEarly()
            val statuses = play.outcomes.groupingBy { it.kind to it.status }.eachCount()
            println(
                "silence: seed=$seed ${play.draw} use=$use excess=${play.excess().size} " +
                    "given too much time=${play.givenTooMuchTime()} early=${ended.size} statuses=$statuses",
            )
            uses += use.values
            excess += play.excess()
            early += ended.map { "seed=$seed ${it.kind} status=${it.status} millis=${it.millis}" }
        }
        expect {
            that(uses.max()).isGreaterThan(0.0)
            that(uses.max()).isLessThanOrEqualTo(1.0)
            that(excess).isEmpty()
            that(early).isEmpty()
        }
    }

    private fun play(seed: Long): Play =
        runBlocking(Dispatchers.Default) {
            val draw = Draw(seed)
            RouterFleet(
                INSTANCES,
                ENGINES,
                DESKS,
                repeatExtra = draw.repeatExtra,
                config = config(1, Random(seed)),
                serversMayFallSilent = true,
            ).use { fleet ->
                (fleet.engines + fleet.desks).forEach { it.prefillMillis = 50 }
                fleet.engines.forEach { it.eventMillis = 20 }
                val failures = Random(seed)
                fleet.desks.forEach { desk ->
                    desk.status = { if (failures.nextDouble() < draw.failing) 500 else 200 }
                }
                fleet.start()
                Play(draw, fleet).also { it.run() }
            }
        }

    private companion object {
        const val SEEDS = 3L
        const val BOOKING_PATH = "/reserve/x"

        /** The least that is drawn for the route. */
        const val TAG_TIMEOUT_MILLIS = 2_500L

        /** Time by which a request may name more than is left. */
        const val TOLERATED_MILLIS = 500L

        /** Instances end a call shortly before its deadline. */
        const val END_MARGIN_MILLIS = 50L
        const val INSTANCES = 6
        const val ENGINES = 6
        const val DESKS = 3
        const val WINDOW_MILLIS = 10_000L
        const val PLAY_MILLIS = 34_000L
        const val CHANGE_BEFORE_SILENCE_MILLIS = 600L
        val SERVED_OR_REFUSED = setOf(200, 429, 500, 503)

        /** Returns a configuration whose limits and timeouts are drawn. */
        fun config(
            version: Int,
            random: Random,
        ): String {
            val idleMillis = random.nextInt(2_000, 30_000)
            val tagMillis = random.nextLong(TAG_TIMEOUT_MILLIS, 3_001)
            return """{"version":$version,"limits":{"idleTimeoutMs":$idleMillis},"routes":[
            {"name":"tag","host":"h.example","prefix":"/tag/","kind":"stream",
            "timeoutMs":$tagMillis,"latencyTargetMs":500,"priority":0,"service":"engine","maxAttempts":2,
            "public":false,"resumable":true},
            {"name":"lookup","host":"h.example","prefix":"/lookup/","kind":"idempotent",
            "timeoutMs":2000,"latencyTargetMs":300,"priority":0,"service":"desk","maxAttempts":2,"public":false},
            {"name":"new$version","host":"h.example","prefix":"/new$version/","kind":"idempotent",
            "timeoutMs":2000,"latencyTargetMs":300,"priority":0,"service":"desk","maxAttempts":2,"public":false},
            {"name":"reserve","host":"h.example","prefix":"/reserve/","kind":"non_idempotent",
            "timeoutMs":2000,"latencyTargetMs":300,"priority":0,"service":"desk","maxAttempts":1,"public":false}],
            "services":[{"name":"desk","maxConns":110},{"name":"engine","maxConns":300,
            "engine":{"slots":48,"kvCapTokens":200000,"moves":true,"models":[{"name":"m"}]}}],
            "tenants":[{"name":"acme","apiKeys":["k1"]}]}"""
        }
    }
}
