package lacewingweir.coordination.gossip

import lacewingweir.state.fleet.CallerLimits
import lacewingweir.state.fleet.CustomerSpec
import lacewingweir.state.fleet.FleetConfig
import lacewingweir.state.fleet.RateLimit
import lacewingweir.state.id.CustomerId
import lacewingweir.state.time.MonotonicClock
import kotlin.math.ln
import kotlin.random.Random

/**
 * The calls of one customer with a rate of [perSecond] tokens, and as many tokens of burst.
 *
 * [demand] is a multiple of the rate, at the given time in milliseconds. Each call has [tokens]. An instance gets calls
 * in proportion to its weight, given its index in the fleet and the time in milliseconds.
 */
internal class CustomerTraffic(
    val perSecond: Double,
    val tokens: LongRange,
    val demand: (nowMillis: Long) -> Double,
    val weight: (index: Int, nowMillis: Long) -> Double = { _, _ -> 1.0 },
)

/** Kills instances from [firstMillis] on, all [together] every 2 to 4 s, or one every 0.5 to 2 s. */
internal class Kills(
    val together: Boolean,
    val firstMillis: Long,
)

/**
 * Plays a fleet of [size] instances with the traffic of one customer on simulated time for [playMillis]. A share of
 * [digestLoss] of the digests is lost on the way to each peer. Calls before [measuredFromMillis] count for the rate,
 * but not for the shares.
 */
internal class FleetPlay(
    private val size: Int,
    private val traffic: CustomerTraffic,
    private val random: Random,
    private val kills: Kills? = null,
    private val digestLoss: Double = 0.0,
    private val intervalMillis: Long =
        maxOf(DigestSender.MIN_INTERVAL_MILLIS, size * 1_000L / DigestSender.DATAGRAMS_PER_SECOND),
    private val measuredFromMillis: Long,
    private val playMillis: Long = 60_000,
) {
    private inner class Instance(
        val name: String,
        val startsAtMillis: Long,
    ) {
        private val digests = PeerDigests(name, clock)
        private val limiter = FleetRateLimiter(clock, WINDOW_MILLIS, { digests.names() }, { size }, random)
        private var number = 0L
        private var nextDigestMillis = startsAtMillis + random.nextLong(intervalMillis)
        var started = false
            private set

        fun hasRunForWindow() = started && now - startsAtMillis > WINDOW_MILLIS

        fun start() {
            limiter.configure(config, hotCustomers)
            started = true
        }

        fun admits(tokens: Long) = limiter.admit(customer, tokens) is RateDecision.Admitted

        fun hotCustomers() = limiter.hotCustomers()

        fun digestIfDue(): InstanceDigest? {
            if (now < nextDigestMillis) return null
            nextDigestMillis = now + random.nextLong(intervalMillis, intervalMillis * 11 / 10)
            val withTotals = number % TOTALS_PERIOD == 0L && hasRunForWindow()
            return InstanceDigest(
                instance = name,
                run = startsAtMillis,
                number = ++number,
                intervalMillis = intervalMillis,
                admittedTokens = limiter.admittedTokens(),
                loads = emptyList(),
                weights = emptyList(),
                windowTotals = if (withTotals) limiter.windowTotals() else null,
                demands = limiter.demands(),
            )
        }

        fun receive(digest: InstanceDigest) {
            if (!started) return
            val result = digests.accept(digest)
            if (result is PeerDigests.AcceptResult.Updated) limiter.onDigest(digest, result.previous)
        }
    }

    private class Admission(
        val atMillis: Long,
        val tokens: Long,
    )

    private val limit = RateLimit(traffic.perSecond, traffic.perSecond)
    private val customer = CustomerSpec(CustomerId("c"), emptySet(), null, limit, 1, false)
    private val config = FleetConfig(1, emptyList(), emptyList(), listOf(customer), CallerLimits())
    private val allowedTokens = traffic.perSecond * WINDOW_MILLIS / 1_000 + traffic.perSecond
    private var now = 0L
    private val clock = MonotonicClock { now }
    private var hotCustomers = emptySet<CustomerId>()
    private val fleet = Array(size) { Instance("i$it", 0) }
    private var nextKillMillis = kills?.firstMillis ?: Long.MAX_VALUE
    private val underway = ArrayDeque<Pair<Long, InstanceDigest>>()
    private val admissions = ArrayList<Admission>()
    private var askedTokens = 0L
    private var missingTokens = 0.0

    fun run() {
        while (now < playMillis) {
            if (now >= nextKillMillis) kill(checkNotNull(kills))
            while (underway.isNotEmpty() && underway.first().first <= now) deliver(underway.removeFirst().second)
            fleet.filter { !it.started && now >= it.startsAtMillis }.forEach { it.start() }
            val live = fleet.indices.filter { fleet[it].started }
            live.mapNotNull { fleet[it].digestIfDue() }.forEach { underway += now + DELIVERY_MILLIS to it }
            if (now % STORE_HOT_MILLIS == 0L) {
                live.firstOrNull { fleet[it].hasRunForWindow() }?.let { hotCustomers = fleet[it].hotCustomers() }
            }
            if (live.isNotEmpty()) call(live)
            now += STEP_MILLIS
        }
    }

    private fun deliver(digest: InstanceDigest) =
        fleet.filter { digestLoss == 0.0 || random.nextDouble() >= digestLoss }.forEach { it.receive(digest) }

    private fun kill(kills: Kills) {
        nextKillMillis = now + if (kills.together) random.nextLong(2_000, 4_000) else random.nextLong(500, 2_000)
        val killed = if (kills.together) fleet.indices.toList() else listOf(random.nextInt(size))
        killed.forEach { fleet[it] = Instance("i$it", now + random.nextLong(300, 1_500)) }
    }

    /** Calls arrive at random times, with the demand as their mean. */
    private fun call(live: List<Int>) {
        val weights = live.map { traffic.weight(it, now) }
        val meanTokens = (traffic.tokens.first + traffic.tokens.last) / 2.0
        missingTokens += traffic.demand(now) * traffic.perSecond * STEP_MILLIS / 1_000
        while (missingTokens > 0) {
            // Exponentially distributed, for Poisson arrivals.
            missingTokens += meanTokens * ln(1 - random.nextDouble())
            callOnce(live[pick(weights)])
        }
    }

    private fun callOnce(index: Int) {
        val tokens = random.nextLong(traffic.tokens.first, traffic.tokens.last + 1)
        if (now >= measuredFromMillis) askedTokens += tokens
        if (fleet[index].admits(tokens)) admissions += Admission(now, tokens)
    }

    private fun pick(weights: List<Double>): Int {
        var point = random.nextDouble() * weights.sum()
        val index = weights.indexOfFirst { weight -> (point - weight).also { point = it } < 0 }
        return index.coerceAtLeast(0)
    }

    /** Returns the greatest share of what the platform tolerates that was admitted in a window. */
    fun greatestUse(): Double {
        var from = 0
        var inWindow = 0L
        var most = 0L
        for (admission in admissions) {
            inWindow += admission.tokens
            while (admissions[from].atMillis <=
                admission.atMillis - WINDOW_MILLIS
            ) {
                inWindow -= admissions[from++].tokens
            }
            most = maxOf(most, inWindow)
        }
        return most / (allowedTokens * (1 + TOLERATED_EXCESS) + TOLERATED_SLACK)
    }

    /** Returns which share of the tokens asked for was admitted. */
    fun admittedShare(): Double = measuredTokens() / askedTokens

    /** Returns the admitted tokens as a share of those that the limit allows for the time measured. */
    fun limitShare(): Double = measuredTokens() * WINDOW_MILLIS / (playMillis - measuredFromMillis) / allowedTokens

    private fun measuredTokens() =
        admissions.filter { it.atMillis >= measuredFromMillis }.sumOf { it.tokens }.toDouble()

    private companion object {
        const val WINDOW_MILLIS = 8_000L
        const val TOLERATED_EXCESS = 0.1
        const val TOLERATED_SLACK = 140_000.0
        const val STEP_MILLIS = 10L
        const val DELIVERY_MILLIS = 10L
        const val STORE_HOT_MILLIS = 1_000L
        const val TOTALS_PERIOD = 8
    }
}
