package lacewingweir.coordination.rate

import lacewingweir.state.rate.BorrowPolicy
import lacewingweir.state.rate.LoanTerm

/** Prints wrongful refusals by seed and customer, and loan messages by number of instances. */
fun main(args: Array<String>) {
    val options = args.associate { it.substringBefore('=') to it.substringAfter('=') }
    val policy =
        BorrowPolicy(
            lookAheadMillis = options["lookAhead"]?.toLong() ?: BorrowPolicy().lookAheadMillis,
            reserveMillis = options["reserve"]?.toLong() ?: BorrowPolicy().reserveMillis,
            refillTermMillis = options["refillTerm"]?.toLong() ?: BorrowPolicy().refillTermMillis,
        )
    val term = LoanTerm(lendablePercent = options["lendable"]?.toInt() ?: LoanTerm().lendablePercent)
    val settings = RateSettings(policy = policy, term = term)
    val seeds = (options["seeds"] ?: "1,2,3").split(',').map { it.toLong() }
    println("| seed | customer | load | requests | wrongful | % | fixed split % | central refused % | mean wait ms |")
    println("|---|---|---|---|---|---|---|---|---|")
    for (seed in seeds) {
        val load = BalanceLoad(seed, settings = settings)
        val run = BalanceRun(load).go()
        run.counts.forEachIndexed { i, count ->
            val part = { n: Long -> "%.3f".format(100.0 * n / count.requests) }
            val wait = "%.2f".format(count.waitedMillis.toDouble() / count.requests)
            println(
                "| $seed | ${load.rates[i]}/s x${load.burstSeconds[i]} s | ${load.loads[i]} | ${count.requests} | " +
                    "${count.wrongful} | ${part(count.wrongful)} | ${part(count.wrongfulByFixedSplit)} | " +
                    "${part(count.refusedByCentral)} | $wait |",
            )
        }
        println("loan messages/s and instance, 7 instances: ${run.loanMessages / load.seconds / load.instances}")
    }
}
