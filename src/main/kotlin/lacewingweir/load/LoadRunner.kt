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
 * Runs load scenarios.
 *
 * [observer] is called with each completed request, including those of the warm-up. Calls can be concurrent.
 */
public class LoadRunner(
    private val http: HttpClient,
    private val observer: (ObservedRequest) -> Unit = {},
) {
    private val caller = CallerClient(http)

    /**
     * Sends the requests of [scenario] at their due times, without waiting for earlier answers.
     *
     * Returns the report when all requests have completed.
     */
    public suspend fun run(scenario: LoadScenario): LoadReport {
        val recorder = LoadRecorder()
        val startNanos = System.nanoTime()
        coroutineScope {
            for ((customerIndex, customer) in scenario.customers.withIndex()) {
                for ((streamIndex, stream) in customer.streams.withIndex()) {
                    val random =
                        Random(scenario.seed * SEED_STRIDE + customerIndex * MAX_STREAMS_PER_CUSTOMER + streamIndex)
                    launch(Dispatchers.Default) {
                        sendRequests(StreamContext(scenario, customer, stream, random, startNanos), recorder)
                    }
                }
            }
            for (injection in scenario.events) {
                launch(Dispatchers.Default) {
                    delayUntil(startNanos, injection.atSeconds)
                    injectFault(injection)
                }
            }
        }
        return recorder.report(scenario)
    }

    private class StreamContext(
        val scenario: LoadScenario,
        val customer: CustomerLoad,
        val stream: RequestStream,
        val random: Random,
        val startNanos: Long,
    )

    private suspend fun CoroutineScope.sendRequests(
        context: StreamContext,
        recorder: LoadRecorder,
    ) {
        val stream = context.stream
        val prompts = PromptGenerator(stream.prompts)
        var dueSeconds = 0.0
        while (true) {
            dueSeconds += -ln(1.0 - context.random.nextDouble()) / rateAt(stream, dueSeconds)
            if (dueSeconds > context.scenario.durationSeconds) return
            val prompt = prompts.next(context.random, dueSeconds, stream.suffixTokens)
            val target = chooseTarget(context, dueSeconds)
            delayUntil(context.startNanos, dueSeconds)
            val requestDueSeconds = dueSeconds
            launch {
                val scheduledNanos = context.startNanos + (requestDueSeconds * NANOS_PER_SECOND).toLong()
                val outcome =
                    caller.chat(target, context.customer.key, stream.model, prompt, stream.answerTokens, scheduledNanos)
                observer(ObservedRequest(requestDueSeconds, context.customer.name, stream.label, prompt, outcome))
                if (requestDueSeconds >= context.scenario.warmupSeconds) {
                    recorder.record(context.customer.name, stream.label, outcome)
                }
            }
        }
    }

    private fun rateAt(
        stream: RequestStream,
        seconds: Double,
    ): Double {
        val inSurge = seconds >= stream.surgeFromSeconds && seconds < stream.surgeToSeconds
        return stream.requestsPerSecond * if (inSurge) stream.surgeFactor else 1.0
    }

    private fun chooseTarget(
        context: StreamContext,
        seconds: Double,
    ): String {
        val scenario = context.scenario
        val customer = context.customer
        if (customer.stickiness > 0 && context.random.nextDouble() < customer.stickiness) {
            val intervalIndex = (seconds / customer.stickySeconds).toInt() + customer.name.hashCode()
            return scenario.targets[intervalIndex.mod(scenario.targets.size)]
        }
        if (scenario.targetWeights.isEmpty()) return scenario.targets.random(context.random)
        var remaining = context.random.nextDouble() * scenario.targetWeights.sum()
        for ((index, weight) in scenario.targetWeights.withIndex()) {
            remaining -= weight
            if (remaining <= 0) return scenario.targets[index]
        }
        return scenario.targets.last()
    }

    private suspend fun delayUntil(
        startNanos: Long,
        seconds: Double,
    ) {
        val dueNanos = startNanos + (seconds * NANOS_PER_SECOND).toLong()
        val waitMillis = (dueNanos - System.nanoTime()) / NANOS_PER_MILLI
        if (waitMillis > 0) delay(waitMillis)
    }

    private suspend fun injectFault(injection: FaultInjection) {
        val (host, port) = injection.target.split(':')
        val body = injection.body.toString().toByteArray()
        val request = ClientRequest(host, port.toInt(), "POST", "/standin/faults", body = body)
        val result = http.open(request)
        check(result is ClientResult.Answered) { "${injection.target} didn't respond to a fault injection: $result" }
        result.response.readAll(MAX_FAULT_RESPONSE_BYTES)
    }

    private companion object {
        const val SEED_STRIDE: Long = 1_000_003
        const val MAX_STREAMS_PER_CUSTOMER: Int = 100
        const val NANOS_PER_SECOND: Double = 1e9
        const val NANOS_PER_MILLI: Long = 1_000_000
        const val MAX_FAULT_RESPONSE_BYTES: Int = 65_536
    }
}
