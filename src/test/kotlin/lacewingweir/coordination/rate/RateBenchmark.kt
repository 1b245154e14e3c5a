package lacewingweir.coordination.rate

import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import lacewingweir.coordination.membership.BaseShare
import lacewingweir.coordination.peer.Heartbeat
import lacewingweir.coordination.peer.PeerMessage
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.Customer
import lacewingweir.state.id.BundleNumber
import lacewingweir.state.id.CustomerId
import lacewingweir.state.rate.BorrowPolicy
import lacewingweir.state.rate.LoanTerms

/**
 * Prints wrongful refusals by seed and customer, loan messages by number of instances, and memory and processor time by
 * number of customers.
 *
 * Arguments have the form `name=value`: `seeds`, `lookAhead`, `reserve`, `refillTerm`, `lendable`, and `slopes=no` to
 * omit the last two tables.
 */
fun main(args: Array<String>) {
    val options = args.associate { it.substringBefore('=') to it.substringAfter('=') }
    val borrowPolicy =
        BorrowPolicy(
            lookAheadMillis = options["lookAhead"]?.toLong() ?: BorrowPolicy().lookAheadMillis,
            reserveMillis = options["reserve"]?.toLong() ?: BorrowPolicy().reserveMillis,
            refillPeriodMillis = options["refillTerm"]?.toLong() ?: BorrowPolicy().refillPeriodMillis,
        )
    val loanTerms = LoanTerms(lendablePercent = options["lendable"]?.toInt() ?: LoanTerms().lendablePercent)
    val settings = RateSettings(borrowPolicy = borrowPolicy, loanTerms = loanTerms)
    val seeds = (options["seeds"] ?: "1,2,3").split(',').map { it.toLong() }
    println("| seed | customer | load | requests | wrongful | % | fixed split % | central refused % | mean wait ms |")
    println("|---|---|---|---|---|---|---|---|---|")
    for (seed in seeds) {
        val load = UnevenLoad(seed, settings = settings)
        val run = UnevenLoadRun(load).execute()
        run.counts.forEachIndexed { i, count ->
            val percent = { n: Long -> "%.3f".format(100.0 * n / count.requests) }
            val wait = "%.2f".format(count.waitedMillis.toDouble() / count.requests)
            println(
                "| $seed | ${load.rates[i]}/s x${load.burstSeconds[i]} s | ${load.loads[i]} | ${count.requests} | " +
                    "${count.wrongful} | ${percent(count.wrongful)} | ${percent(count.wrongfulByFixedSplit)} | " +
                    "${percent(count.refusedByCentral)} | $wait |",
            )
        }
        println("loan messages/s and instance, 7 instances: ${run.loanMessages / load.seconds / load.instances}")
    }
    if (options["slopes"] != "no") {
        printMessages(settings)
        printCosts()
    }
}

private fun printMessages(settings: RateSettings) {
    println("| instances | loan messages/s and instance | loan bytes/s and instance | wrongful % |")
    println("|---|---|---|---|")
    for (instances in listOf(4, 8, 16, 32)) {
        val load = UnevenLoad(1, instances = instances, seconds = 120, settings = settings)
        val run = UnevenLoadRun(load)
        var bytes = 0L
        run.onMessage = { if (it !is Heartbeat) bytes += Cbor.encodeToByteArray<PeerMessage>(it).size }
        run.execute()
        val withinRate = run.counts.filterIndexed { i, _ -> load.loads[i] < 1.0 }
        val wrongful = 100.0 * withinRate.sumOf { it.wrongful } / withinRate.sumOf { it.requests }
        val seconds = load.seconds * instances
        println("| $instances | ${run.loanMessages / seconds} | ${bytes / seconds} | ${"%.3f".format(wrongful)} |")
    }
}

private fun printCosts() {
    println("| customers | bytes per customer | ns per reservation |")
    println("|---|---|---|")
    for (size in listOf(10, 100, 460)) {
        val customers = List(size) { Customer(CustomerId("c$it"), 1_000_000_000, 10_000_000_000) }
        val bundle = Bundle(BundleNumber(1), customers, emptyList(), emptyList(), emptyList())
        val time = SimulatedTime()
        val process = SimulatedProcess(time)
        val network = SimulatedNetwork(time) { 1_000 }
        val before = usedBytes()
        val agent =
            RateAgent(
                network.join("n", 1, process),
                { BaseShare(1, 1, true) },
                { 0 },
                { bundle },
                process,
                process.clock,
                metrics = RateMetrics(PrometheusRegistry()),
            )
        agent.rateHints()
        val bytes = (usedBytes() - before) / size
        var nanos = 0L
        repeat(3) {
            val start = System.nanoTime()
            runBlocking {
                repeat(RESERVATIONS) { number ->
                    val result = agent.reserve(customers[number % size].id, 3_000)
                    (result as ReserveResult.Reserved).reservation.close()
                }
            }
            nanos = (System.nanoTime() - start) / RESERVATIONS
        }
        println("| $size | $bytes | $nanos |")
    }
}

private fun usedBytes(): Long {
    repeat(3) { System.gc() }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory()
}

private const val RESERVATIONS = 500_000
