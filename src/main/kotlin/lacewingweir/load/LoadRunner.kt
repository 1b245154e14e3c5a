package lacewingweir.load

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResult
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.http.readAll
import kotlin.math.ln
import kotlin.random.Random

/**
 * Runs a [LoadScenario] and returns its figures once every request has its answer.
 *
 * [observer] gets every request with its answer, also those of the warm-up, and may be called concurrently.
 */
public class LoadRunner(
    private val http: HttpClient,
    private val observer: (ObservedRequest) -> Unit = {},
) {
    private val caller = CallerClient(http)

    /** Sends the scenario's requests at their due times, whatever became of earlier ones. */
    public suspend fun run(scenario: LoadScenario): LoadReport {
        val recorder = LoadRecorder()
        val startNanos = System.nanoTime()
        coroutineScope {
            for ((index, customer) in scenario.customers.withIndex()) {
                for ((streamIndex, stream) in customer.streams.withIndex()) {
                    val random = Random(scenario.seed * SEED_STRIDE + index * MAX_STREAMS + streamIndex)
                    launch(Dispatchers.Default) {
                        arrivals(Arrivals(scenario, customer, stream, random, startNanos), recorder)
                    }
                }
            }
            for (event in scenario.events) {
                launch(Dispatchers.Default) {
                    sleepUntil(startNanos, event.atSeconds)
                    post(event)
                }
            }
        }
        return recorder.report(scenario)
    }

    private class Arrivals(
        val scenario: LoadScenario,
        val customer: CustomerLoad,
        val stream: RequestStream,
        val random: Random,
        val startNanos: Long,
    )

    private suspend fun CoroutineScope.arrivals(
        arrivals: Arrivals,
        recorder: LoadRecorder,
    ) {
        val stream = arrivals.stream
        val prompts = PromptGenerator(stream.prompts)
        var dueSeconds = 0.0
        while (true) {
            dueSeconds += -ln(1.0 - arrivals.random.nextDouble()) / rateAt(stream, dueSeconds)
            if (dueSeconds > arrivals.scenario.durationSeconds) return
            val prompt = prompts.next(arrivals.random, dueSeconds, stream.suffixTokens)
            val target = target(arrivals, dueSeconds)
            sleepUntil(arrivals.startNanos, dueSeconds)
            val due = dueSeconds
            launch {
                val scheduled = arrivals.startNanos + (due * NANOS_PER_SECOND).toLong()
                val result =
                    caller.chat(target, arrivals.customer.key, stream.model, prompt, stream.answerTokens, scheduled)
                observer(ObservedRequest(due, arrivals.customer.name, stream.label, prompt, result))
                if (due >= arrivals.scenario.warmupSeconds) {
                    recorder.record(arrivals.customer.name, stream.label, result)
                }
            }
        }
    }

    private fun rateAt(
        stream: RequestStream,
        seconds: Double,
    ): Double {
        val surge = seconds >= stream.surgeFromSeconds && seconds < stream.surgeToSeconds
        return stream.requestsPerSecond * if (surge) stream.surgeFactor else 1.0
    }

    private fun target(
        arrivals: Arrivals,
        seconds: Double,
    ): String {
        val scenario = arrivals.scenario
        val customer = arrivals.customer
        if (customer.stickiness > 0 && arrivals.random.nextDouble() < customer.stickiness) {
            val turn = (seconds / customer.stickySeconds).toInt() + customer.name.hashCode()
            return scenario.targets[turn.mod(scenario.targets.size)]
        }
        if (scenario.targetWeights.isEmpty()) return scenario.targets.random(arrivals.random)
        var rest = arrivals.random.nextDouble() * scenario.targetWeights.sum()
        for ((index, weight) in scenario.targetWeights.withIndex()) {
            rest -= weight
            if (rest <= 0) return scenario.targets[index]
        }
        return scenario.targets.last()
    }

    private suspend fun sleepUntil(
        startNanos: Long,
        seconds: Double,
    ) {
        val dueNanos = startNanos + (seconds * NANOS_PER_SECOND).toLong()
        val waitMillis = (dueNanos - System.nanoTime()) / NANOS_PER_MILLI
        if (waitMillis > 0) delay(waitMillis)
    }

    private suspend fun post(event: FaultInjection) {
        val (host, port) = event.target.split(':')
        val body = event.body.toString().toByteArray()
        val request = ClientRequest(host, port.toInt(), "POST", "/standin/faults", body = body)
        val result = http.open(request)
        check(result is ClientResult.Answered) { "fault switch of ${event.target} did not answer: $result" }
        result.response.readAll(MAX_FAULT_ANSWER_BYTES)
    }

    private companion object {
        const val SEED_STRIDE: Long = 1_000_003
        const val MAX_STREAMS: Int = 100
        const val NANOS_PER_SECOND: Double = 1e9
        const val NANOS_PER_MILLI: Long = 1_000_000
        const val MAX_FAULT_ANSWER_BYTES: Int = 65_536
    }
}
