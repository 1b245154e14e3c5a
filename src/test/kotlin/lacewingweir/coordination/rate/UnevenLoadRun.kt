package lacewingweir.coordination.rate

import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.launch
import lacewingweir.coordination.membership.BaseShare
import lacewingweir.coordination.peer.Heartbeat
import lacewingweir.coordination.peer.PeerMessage
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.Customer
import lacewingweir.state.id.BundleNumber
import lacewingweir.state.id.CustomerId
import lacewingweir.state.rate.MICROS_PER_TOKEN
import lacewingweir.state.rate.TokenBucket
import kotlin.math.ln
import kotlin.random.Random

/**
 * Load of an [UnevenLoadRun].
 *
 * The fraction [hotFraction] of each customer's requests goes to one instance, which changes every [hotPeriodMillis].
 * [rates] are in tokens per second, and [loads] are multiples of them.
 */
data class UnevenLoad(
    val seed: Long,
    val instances: Int = 7,
    val rates: List<Long> = listOf(60_000, 30_000, 12_000, 6_000, 20_000),
    val burstSeconds: List<Long> = listOf(4, 5, 7, 10, 5),
    val loads: List<Double> = listOf(0.9, 0.9, 0.9, 0.9, 5.0),
    val hotFraction: Double = 0.6,
    val hotPeriodMillis: Long = 20_000,
    val seconds: Long = 300,
    val settings: RateSettings = RateSettings(),
)

/** Results of one customer's requests. [wrongful] counts refusals of requests that a single central bucket admits. */
class RefusalCounts {
    var requests = 0L
    var wrongful = 0L
    var wrongfulByFixedSplit = 0L
    var refusedByCentral = 0L
    var waitedMillis = 0L
}

/**
 * Simulates Poisson arrivals of long prompts at several instances.
 *
 * The same requests are also offered to a fixed 1/N split of the rate and to a single central bucket for comparison.
 * The central bucket answers immediately, while the fleet may wait for loans.
 */
class UnevenLoadRun(
    private val load: UnevenLoad,
) {
    private val random = Random(load.seed)
    private val time = SimulatedTime()
    private val network = SimulatedNetwork(time) { random.nextLong(1_000, 2_000) }
    private val customers =
        load.rates.mapIndexed { i, rate -> Customer(CustomerId("c$i"), rate, rate * load.burstSeconds[i]) }
    private val bundle = Bundle(BundleNumber(1), customers, emptyList(), emptyList(), emptyList())
    private val processes = List(load.instances) { SimulatedProcess(time, 1.0) }
    private val agents = processes.mapIndexed { i, process -> agent(i, process) }
    private val centralBuckets = customers.map { bucket(it, 1) }
    private val fixedSplit = customers.map { customer -> List(load.instances) { bucket(customer, load.instances) } }

    /** Results by customer, in the order of [UnevenLoad.rates]. */
    val counts = customers.map { RefusalCounts() }

    /** The number of loan messages sent, without heartbeats. */
    val loanMessages: Long get() = network.messages - heartbeats
    private var heartbeats = 0L

    /** Called for each message that is sent. */
    var onMessage: (PeerMessage) -> Unit = {}

    private fun agent(
        index: Int,
        process: SimulatedProcess,
    ): RateAgent {
        val peer = network.join("n$index", 1, process)
        val agent =
            RateAgent(
                peer,
                { BaseShare(1, load.instances, true) },
                { 0 },
                { bundle },
                process,
                process.clock,
                load.settings,
                RateMetrics(PrometheusRegistry()),
                Random(random.nextLong()),
            )
        process.every("heartbeat", 1_000) {
            val hints = agent.rateHints()
            for (to in peer.connectedPeers()) {
                heartbeats++
                peer.send(to.name, Heartbeat(1, 1, 1, bundle.number, 0, true, hints))
            }
        }
        return agent
    }

    private fun bucket(
        customer: Customer,
        parts: Int,
    ) = TokenBucket(0).apply {
        resize(customer.burstTokens * MICROS_PER_TOKEN / parts, customer.tokensPerSecond * 1_000 / parts)
        addTokens(capacityMicros)
    }

    fun execute(): UnevenLoadRun {
        network.onMessage = { onMessage(it) }
        customers.indices.forEach { scheduleArrivals(it) }
        time.runUntil(load.seconds * 1_000_000)
        return this
    }

    private fun scheduleArrivals(index: Int) {
        // The mean request size: 3,000 prompt tokens and 300 answer tokens, see [request].
        val perSecond = customers[index].tokensPerSecond * load.loads[index] / MEAN_TOKENS
        val gap = -ln(1.0 - random.nextDouble()) / perSecond
        time.at(time.nowMicros + (gap * 1e6).toLong()) {
            request(index)
            scheduleArrivals(index)
        }
    }

    private fun request(index: Int) {
        val prompt = random.nextLong(1_000, 5_001)
        val answer = random.nextLong(100, 501)
        val reserved = prompt + MAX_ANSWER_TOKENS
        val preferredInstance = ((time.nowMicros / 1_000 / load.hotPeriodMillis + index) % load.instances).toInt()
        val instance = if (random.nextDouble() < load.hotFraction) preferredInstance else random.nextInt(load.instances)
        val count = counts[index]
        count.requests++
        val centralAdmits = offer(centralBuckets[index], reserved, prompt, answer)
        if (!centralAdmits) count.refusedByCentral++
        if (!offer(fixedSplit[index][instance], reserved, prompt, answer) && centralAdmits) count.wrongfulByFixedSplit++
        val arrived = time.nowMicros
        CoroutineScope(Dispatchers.Unconfined).launch {
            when (val result = agents[instance].reserve(customers[index].id, reserved)) {
                is ReserveResult.Refused -> if (centralAdmits) count.wrongful++
                is ReserveResult.Reserved -> {
                    count.waitedMillis += (time.nowMicros - arrived) / 1_000
                    val reservation = result.reservation
                    reservation.consume(prompt)
                    afterStreaming(answer) {
                        reservation.consume(answer)
                        reservation.close()
                    }
                }
            }
        }
    }

    private fun offer(
        bucket: TokenBucket,
        reserved: Long,
        prompt: Long,
        answer: Long,
    ): Boolean {
        bucket.advance(time.nowMicros / 1_000)
        if (!bucket.reserve(reserved * MICROS_PER_TOKEN)) return false
        bucket.consume(prompt * MICROS_PER_TOKEN)
        afterStreaming(answer) {
            bucket.advance(time.nowMicros / 1_000)
            bucket.consume(answer * MICROS_PER_TOKEN)
            bucket.release((reserved - prompt - answer) * MICROS_PER_TOKEN)
        }
        return true
    }

    /** Runs [done] when an answer of [tokens] has been streamed at 26 ms per token. */
    private fun afterStreaming(
        tokens: Long,
        done: () -> Unit,
    ) = time.at(time.nowMicros + tokens * TOKEN_MICROS, done)

    private companion object {
        const val MEAN_TOKENS = 3_300.0
        const val MAX_ANSWER_TOKENS = 500L
        const val TOKEN_MICROS = 26_000L
    }
}
