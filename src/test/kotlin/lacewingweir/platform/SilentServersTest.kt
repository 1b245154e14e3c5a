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
        val maxAttempts: Int,
        val perSecond: Double,
    ) {
        TAG("engine", maxAttempts = 2, perSecond = 36.0),
        LOOK_UP("desk", maxAttempts = 2, perSecond = 12.0),
        BOOKING("desk", maxAttempts = 1, perSecond = 10.0),
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
        seed: Long,
    ) {
        val random = Random(seed)
        val timeoutMillis = if (random.nextBoolean()) 1_000L else 3_000L
        val share = random.nextDouble(0.6, 1.0)
        val periodMillis = random.nextLong(3_000, 11_000)
        val failing = if (random.nextBoolean()) random.nextDouble(0.3, 0.9) else 0.0
        val repeatExtra = listOf(5.0, 20.0, 56.0).random(random)

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
            while (true) {
                delay(draw.periodMillis)
                for (servers in listOf(fleet.engines, fleet.desks)) {
                    val silent = servers.shuffled(draw.random).take((servers.size * draw.share + 0.5).toInt())
                    val millis = draw.random.nextLong(1_000, 1_400)
                    silent.forEach { it.fallSilent(millis) }
                }
            }
        }

        private suspend fun changes() {
            var version = 1
            while (true) {
                delay(draw.periodMillis - CHANGE_BEFORE_SILENCE_MILLIS)
                version++
                fleet.store.write("op/config", config(version, draw.random))
                delay(CHANGE_BEFORE_SILENCE_MILLIS)
            }
        }

        private suspend fun CoroutineScope.load(kind: Kind) {
            val start = StandinPromptEngine.nowMillis()
            var number = 0
            while (true) {
                val atMillis = (number++ * 1_000 / kind.perSecond).toLong()
                if (atMillis > PLAY_MILLIS) return
                delay(start + atMillis - StandinPromptEngine.nowMillis())
                val instance = draw.random.nextInt(INSTANCES)
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
                    Kind.LOOK_UP ->
                        fleet.lookUp(instance, "lookup", timeoutMillis = draw.timeoutMillis).let {
                            it.status to
                                it.complete
                        }
                    Kind.BOOKING ->
                        fleet
                            .lookUp(instance, "booking", "/reserve/x", timeoutMillis = draw.timeoutMillis)
                            .let { it.status to it.complete }
                }
            return Outcome(kind, sentAt, status, complete, StandinPromptEngine.nowMillis() - sentAt)
        }

        fun greatestUse(service: String): Double {
            val repeats =
                arrivals(service).values.flatMap { arrivals -> arrivals.map { it.atMillis }.sorted().drop(1) }
            val requests = outcomes.filter { it.kind.service == service }.map { it.sentAtMillis }
            println("silence: service=$service requests=${requests.size} repeats=${repeats.size}")
            return RepeatWindows(WINDOW_MILLIS, ratio = 0.2, extra = draw.repeatExtra).greatestUse(requests, repeats)
        }

        private fun arrivals(service: String) =
            (if (service == "engine") fleet.engines else fleet.desks).flatMap { it.arrivals }.groupBy { it.requestId }

        /** Requests that were received more often than their routes allow. */
        fun excess(): List<String> =
            listOf("engine" to 2, "desk" to 2).flatMap { (service, most) ->
                arrivals(service).filterValues { it.size > most }.keys
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
                    arrivals.drop(1).firstOrNull { it.atMillis - first.atMillis > 500 }?.let { first to it }
                }
            val tooMuch =
                late.count { (first, again) ->
                    val callerEnd = first.atMillis + draw.timeoutMillis
                    val allowedEnd = maxOf(first.atMillis + first.leftMillis, callerEnd) + 500
                    again.atMillis + again.leftMillis > allowedEnd
                }
            return late.size to tooMuch
        }

        /** Calls that failed before their time was over, though all servers are sound. */
        fun endedEarly(): List<Outcome> =
            outcomes.filter {
                val timeout = if (it.kind == Kind.TAG) 3_000 else draw.timeoutMillis
                (it.status !in SERVED_OR_REFUSED || (it.status == 200 && !it.complete)) && it.millis < timeout - 50
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
            val tagMillis = random.nextInt(2_500, 3_001)
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
