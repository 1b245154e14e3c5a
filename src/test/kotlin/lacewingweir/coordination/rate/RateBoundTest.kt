package lacewingweir.coordination.rate

import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.launch
import lacewingweir.coordination.membership.BaseShare
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.Customer
import lacewingweir.state.id.BundleNumber
import lacewingweir.state.id.CustomerId
import lacewingweir.state.rate.BorrowPolicy
import lacewingweir.state.rate.LoanTerms
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.fail
import kotlin.random.Random

/**
 * Checks that the admitted tokens of every time window stay within rate x time + burst.
 *
 * Random runs include lost and delayed messages, clock drift, pauses and restarts of processes, and changes of the
 * members and of the rate. A violation means that two instances used the same tokens, for example a lender before its
 * borrower stopped using a loan.
 */
class RateBoundTest {
    private val violations = ArrayList<String>()
    private val pathCounts = sortedMapOf<String, Long>()

    private fun count(
        path: String,
        times: Long = 1,
    ) {
        pathCounts.merge(path, times, Long::plus)
    }

    @Test
    fun `no window exceeds rate and burst`() {
        val firstSeed = System.getProperty("rate.seed")?.toLong() ?: System.nanoTime()
        for (seed in firstSeed until firstSeed + RUNS) {
            println("RateBoundTest seed $seed (repeat with -Drate.seed=$seed)")
            Run(seed).execute()
        }
        println("RateBoundTest reached $pathCounts")
        val requiredPaths =
            listOf(
                "lender granted",
                "grant lost",
                "borrower late",
                "lender expired",
                "borrower expired",
                "lender returned",
                "borrower returned",
                "borrower renewal",
                "refused rate",
                "overdraft",
                "shrink with loans outstanding",
                "restart",
                "pause longer than a loan",
                "rate change",
            )
        if (violations.isNotEmpty()) fail(violations.take(10).joinToString("\n"))
        val unreachedPaths = requiredPaths.filter { (pathCounts[it] ?: 0L) == 0L }
        if (unreachedPaths.isNotEmpty()) fail("paths never reached: $unreachedPaths")
    }

    /** An admitted request. [countedTokens] decreases when unused tokens are released. */
    private class Admission(
        val atMicros: Long,
        var countedTokens: Long,
    )

    private inner class Run(
        private val seed: Long,
    ) {
        private val random = Random(seed)
        private val time = SimulatedTime()
        private val network =
            SimulatedNetwork(time) { message ->
                val lost = random.nextInt(100) < 5
                if (lost && message::class.simpleName == "LoanGrant") count("grant lost")
                when {
                    lost -> null
                    random.nextInt(100) < 3 -> random.nextLong(1_000, 9_000_000)
                    else -> random.nextLong(500, 5_000)
                }
            }
        private val customer = CustomerId("c")
        private val names = List(random.nextInt(3, 9)) { "n$it" }
        private val instances = LinkedHashMap<String, Instance>()
        private val admissions = ArrayDeque<Admission>()
        private var limit = Customer(customer, 2_000, 8_000)
        private var bundle = bundleOf(1)
        private var limitChanges = ArrayList<Pair<Long, Customer>>()
        private var epoch = 1L
        private var members = names.take(random.nextInt(2, names.size + 1))
        private var incarnations = 0

        private fun bundleOf(number: Long) =
            Bundle(BundleNumber(number), listOf(limit), emptyList(), emptyList(), emptyList())

        private inner class Instance(
            val name: String,
            var share: BaseShare?,
        ) {
            val process = SimulatedProcess(time, 1.0 + random.nextDouble(-0.0025, 0.0025))
            val metrics = RateMetrics(PrometheusRegistry())
            var currentBundle = bundle
            var proofMillis = process.clock.nowMillis()
            val agent =
                RateAgent(
                    network.join(name, ++incarnations, process),
                    { share },
                    { process.clock.nowMillis() - proofMillis },
                    { currentBundle },
                    process,
                    process.clock,
                    RateSettings(borrowPolicy = POLICY, loanTerms = TERMS),
                    metrics,
                    Random(random.nextLong()),
                )

            init {
                process.every("proof", 1_000) {
                    if (random.nextInt(100) < 95) proofMillis = process.clock.nowMillis()
                }
                process.at(time.nowMicros) { sendRequest() }
            }

            private fun sendRequest() {
                val tokens = random.nextLong(50, 1_500)
                CoroutineScope(Dispatchers.Unconfined).launch {
                    val result = agent.reserve(customer, tokens)
                    if (result is ReserveResult.Reserved) recordAdmission(tokens, result.reservation)
                }
                val meanMicros = if (isBusy()) 60_000L else 4_000_000L
                process.at(time.nowMicros + minOf(random.nextLong(1_000, 2 * meanMicros), PHASE_MICROS / 2)) {
                    sendRequest()
                }
            }

            /**
             * Returns whether this instance is under load. A phase without load fills the buckets, a phase with one
             * busy instance causes loans, and a phase with all instances busy then uses the buckets and the loans.
             */
            private fun isBusy(): Boolean {
                val phase = time.nowMicros / PHASE_MICROS
                return when (phase % 3) {
                    0L -> false
                    1L -> names.indexOf(name).toLong() == phase % names.size
                    else -> true
                }
            }

            private fun recordAdmission(
                tokens: Long,
                reservation: Reservation,
            ) {
                val admission = Admission(time.nowMicros, tokens)
                admissions.addLast(admission)
                checkWindows()
                val shortAnswer = random.nextInt(4) > 0
                val used = if (shortAnswer) tokens + random.nextLong(0, 2) else random.nextLong(0, tokens + 1)
                val consumedEarly = minOf(used, tokens / 2)
                reservation.consume(consumedEarly)
                process.at(time.nowMicros + random.nextLong(10_000, if (shortAnswer) 20_000 else 9_000_000)) {
                    reservation.consume(used - consumedEarly)
                    reservation.close()
                    admission.countedTokens = minOf(used, tokens)
                }
            }

            fun collectCounts() {
                for (side in listOf("lender", "borrower")) {
                    for (step in listOf("granted", "expired", "returned", "late", "renewal")) {
                        count("$side $step", metrics.loanCount(side, step))
                    }
                }
                count("refused rate", metrics.refusedCount("rate"))
                count("overdraft", metrics.overdraftCount())
            }
        }

        fun execute() {
            limitChanges += 0L to limit
            for (name in names) {
                instances[name] = Instance(name, if (name in members) BaseShare(1, members.size, true) else null)
            }
            scheduleFaults()
            scheduleMemberChange()
            scheduleRateChange()
            time.runUntil(RUN_MICROS)
            instances.values.forEach { it.collectCounts() }
        }

        private fun scheduleFaults() {
            time.at(time.nowMicros + random.nextLong(500_000, 6_000_000)) {
                val instance = instances.values.random(random)
                when (random.nextInt(3)) {
                    0 -> instance.process.pausedUntilMicros = time.nowMicros + random.nextLong(1_000, 4_000_000)
                    1 -> {
                        instance.process.pausedUntilMicros = time.nowMicros + random.nextLong(5_000_000, 12_000_000)
                        count("pause longer than a loan")
                    }
                    else -> restart(instance)
                }
                scheduleFaults()
            }
        }

        private fun restart(instance: Instance) {
            instance.process.stopped = true
            instance.collectCounts()
            count("restart")
            time.at(time.nowMicros + random.nextLong(1_000, 3_000_000)) {
                // The new process of the same name has the same share, but starts with an empty bucket.
                if (instances[instance.name] === instance) {
                    instances[instance.name] = Instance(instance.name, instance.share?.copy(startsFull = false))
                }
            }
        }

        /**
         * Changes the members in two steps: the old members shrink their shares first, and the new members get larger
         * shares after all old ones have confirmed.
         */
        private fun scheduleMemberChange() {
            time.at(time.nowMicros + random.nextLong(4_000_000, 15_000_000)) {
                val old = members
                val next = names.shuffled(random).take(random.nextInt(2, names.size + 1))
                val divisor = maxOf(old.size, next.size)
                epoch++
                for (name in old) {
                    applyLater(name) {
                        if (it.agent.hasShrunkTo(divisor).not()) count("shrink with loans outstanding")
                        it.share = BaseShare(epoch, divisor, false)
                    }
                }
                awaitConfirmations(old, next, divisor)
            }
        }

        private fun awaitConfirmations(
            old: List<String>,
            next: List<String>,
            divisor: Int,
        ) {
            time.at(time.nowMicros + 100_000) {
                val confirmed =
                    old.all { name ->
                        val instance = instances.getValue(name)
                        val live = !instance.process.stopped && time.nowMicros >= instance.process.pausedUntilMicros
                        live && instance.share?.epoch == epoch && instance.agent.hasShrunkTo(divisor)
                    }
                if (confirmed) removeLeaving(old, next) else awaitConfirmations(old, next, divisor)
            }
        }

        /** Removes the shares of leaving members, and enlarges the other shares after their loans have expired. */
        private fun removeLeaving(
            old: List<String>,
            next: List<String>,
        ) {
            val leaving = old - next.toSet()
            leaving.forEach { instances.getValue(it).share = null }
            time.at(time.nowMicros + TERMS.lenderTermMillis * 1_010) {
                val largerShare = BaseShare(epoch, next.size, false)
                for (name in next) applyLater(name) { if (epoch == largerShare.epoch) it.share = largerShare }
                time.at(time.nowMicros + 15_000_000) {
                    members = next
                    scheduleMemberChange()
                }
            }
        }

        /**
         * Runs [change] at an instance after a delay. If the instance is stopped or paused then, retries later. After a
         * restart, the retry applies to the new process.
         */
        private fun applyLater(
            name: String,
            change: (Instance) -> Unit,
        ) {
            time.at(time.nowMicros + random.nextLong(1_000, 800_000)) {
                val instance = instances.getValue(name)
                val live = !instance.process.stopped && time.nowMicros >= instance.process.pausedUntilMicros
                if (live) change(instance) else applyLater(name, change)
            }
        }

        private fun scheduleRateChange() {
            time.at(time.nowMicros + random.nextLong(8_000_000, 25_000_000)) {
                val rate = random.nextLong(800, 4_000)
                limit = Customer(customer, rate, rate * random.nextLong(3, 8))
                limitChanges += time.nowMicros to limit
                bundle = bundleOf(bundle.number.value + 1)
                count("rate change")
                for (name in names) deliverBundle(name, bundle)
                scheduleRateChange()
            }
        }

        /** Delivers a bundle after a delay. A paused instance gets it immediately, so that it uses it once resumed. */
        private fun deliverBundle(
            name: String,
            next: Bundle,
        ) {
            val instance = instances.getValue(name)
            val paused = time.nowMicros < instance.process.pausedUntilMicros
            val delay = if (paused) 0 else random.nextLong(1_000, 800_000)
            time.at(time.nowMicros + delay) {
                val receiver = instances.getValue(name)
                if (receiver.currentBundle.number < next.number) receiver.currentBundle = next
            }
        }

        /**
         * Checks every window that ends at the newest admission.
         *
         * For [SETTLING_MICROS] after a change of the rate the larger rate and burst apply, because bundles take up to
         * a second to spread and loans lent under the old rate last until the end of their term.
         */
        private fun checkWindows() {
            val now = time.nowMicros
            while (admissions.first().atMicros < now - LONGEST_WINDOW_MICROS) admissions.removeFirst()
            var sum = 0L
            var index = admissions.size - 1
            while (index >= 0) {
                sum += admissions[index].countedTokens
                val start = admissions[index].atMicros
                val allowed = allowed(start, now)
                if (sum > allowed) {
                    val millis = (now - start) / 1_000
                    val changes = limitChanges.map { (at, c) -> listOf(at / 1_000, c.tokensPerSecond, c.burstTokens) }
                    violations +=
                        "seed $seed: $sum tokens in $millis ms, allowed $allowed at ${now / 1_000} ms, $changes"
                    return
                }
                index--
            }
        }

        private fun allowed(
            start: Long,
            end: Long,
        ): Double {
            val inForce =
                limitChanges.filterIndexed { index, (from, _) ->
                    val until = limitChanges.getOrNull(index + 1)?.first ?: FAR_FUTURE_MICROS
                    from <= end && until + SETTLING_MICROS >= start
                }
            val rate = inForce.maxOf { it.second.tokensPerSecond }
            // Clocks are up to 0.25% fast, and each instance rounds by up to one millisecond.
            val refill = rate * ((end - start) / 1e6 * 1.0026 + 0.002)
            return inForce.maxOf { it.second.burstTokens } + refill
        }
    }

    private companion object {
        const val RUNS = 12
        const val RUN_MICROS = 180_000_000L
        const val LONGEST_WINDOW_MICROS = 60_000_000L
        const val PHASE_MICROS = 3_000_000L
        const val FAR_FUTURE_MICROS = Long.MAX_VALUE / 2
        const val SETTLING_MICROS = 7_000_000L
        val POLICY = BorrowPolicy(lookAheadMillis = 4_000, reserveMillis = 0, refillPeriodMillis = 1_000)
        val TERMS = LoanTerms()
    }
}
