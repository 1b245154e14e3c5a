package lacewingweir.benchmark

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import lacewingweir.coordination.routing.AttemptOutcome
import lacewingweir.coordination.routing.EngineLoad
import lacewingweir.coordination.routing.FleetEngineScheduler
import lacewingweir.coordination.routing.ScheduleRequest
import lacewingweir.coordination.routing.ScheduleResult
import lacewingweir.state.bundle.TrafficClass
import lacewingweir.state.id.Incarnation
import lacewingweir.state.placement.KnownPrefixes
import lacewingweir.state.placement.PrefixChain
import lacewingweir.testing.ManualTimers
import kotlin.random.Random

/** Measures the processor time of the scheduler and its retained memory, by numbers of engines, models and requests. */
internal fun main() {
    println("engines models  us/request  bytes/engine without prefixes")
    for ((engines, models) in listOf(10 to 1, 100 to 1, 670 to 1, 670 to 9)) measure(engines, models)
    println("full engines  waiting customers  us/pass of the scheduler")
    for ((engines, waiting) in listOf(67 to 1, 670 to 1, 670 to 10, 670 to 100)) measureFull(engines, waiting)
    println("prefix entries  bytes/entry")
    for (entries in listOf(1_000, 4_000, 16_000, 64_000)) {
        val (_, bytes) =
            Measure.retainedBy {
                KnownPrefixes(entries).also { prefixes ->
                    repeat(entries / PIECES) { prefixes.recordAnswer(chain(it), 0, it.toLong()) }
                }
            }
        println("%14d %12.1f".format(entries, bytes.toDouble() / entries))
    }
}

private fun measure(
    engines: Int,
    models: Int,
) {
    val bundle = Fleets.bundle(1, 0, engines, 0, models)
    val timers = ManualTimers()
    val scheduler = FleetEngineScheduler({ bundle }, timers, timers, random = Random(1))
    val chains = (0 until 64).map(::chain)
    val model = bundle.models.first()
    var next = 0

    fun scheduleOnce() =
        runBlocking {
            val request =
                ScheduleRequest(
                    bundle.customers.first().id,
                    TrafficClass.INTERACTIVE,
                    model,
                    chains[next++ % chains.size],
                    PROMPT_TOKENS,
                    ANSWER_TOKENS,
                    timers.nowMillis() + 30_000,
                )
            val lease = (scheduler.schedule(request) as ScheduleResult.Granted).lease
            lease.responseHead(Incarnation("1"), EngineLoad(1, 0, 0), leaving = false)
            lease.firstToken(PROMPT_TOKENS)
            lease.finish(AttemptOutcome.COMPLETED, PROMPT_TOKENS)
        }
    val micros = Measure.microsPerCall(warmUpMillis = 4_000) { scheduleOnce() }
    val (retained, bytes) =
        Measure.retainedBy {
            FleetEngineScheduler({ bundle }, timers, timers, random = Random(1)).also { newScheduler ->
                runBlocking {
                    val request =
                        ScheduleRequest(
                            bundle.customers.first().id,
                            TrafficClass.INTERACTIVE,
                            model,
                            chains[0],
                            PROMPT_TOKENS,
                            ANSWER_TOKENS,
                            timers.nowMillis() + 30_000,
                        )
                    newScheduler.schedule(request)
                }
            }
        }
    println("%7d %6d %11.1f %10d".format(engines, models, micros, bytes / engines))
    scheduler.close()
    retained.close()
}

/** Measures a pass of the scheduler over the waiting requests while all engines are full and none can be placed. */
private fun measureFull(
    engines: Int,
    waiting: Int,
) {
    val bundle = Fleets.bundle(waiting, 0, engines, 0, models = 1, slots = 1)
    val timers = ManualTimers()
    val scheduler = FleetEngineScheduler({ bundle }, timers, timers, random = Random(1))
    val scope = CoroutineScope(Dispatchers.Unconfined)
    repeat(engines + waiting) { number ->
        val request =
            ScheduleRequest(
                bundle.customers[number % waiting].id,
                TrafficClass.INTERACTIVE,
                bundle.models.first(),
                chain(number),
                PROMPT_TOKENS,
                ANSWER_TOKENS,
                timers.nowMillis() + DEADLINE_MILLIS,
            )
        scope.launch { scheduler.schedule(request) }
    }
    val micros = Measure.microsPerCall { timers.advance(20) }
    println("%12d %17d %25.1f".format(engines, waiting, micros))
    scope.cancel()
    scheduler.close()
}

private fun chain(number: Int): PrefixChain {
    val prompt = ByteArray(PIECES * PIECE_BYTES)
    Random(number).nextBytes(prompt)
    return PrefixChain.of("salt", prompt, PIECE_BYTES, pieceTokens = 2_000)
}

private const val PIECES = 10
private const val DEADLINE_MILLIS = 1_000_000_000L
private const val PIECE_BYTES = 64
private const val PROMPT_TOKENS = 20_000L
private const val ANSWER_TOKENS = 400L
