package lacewingweir.transport.digest

import kotlinx.coroutines.runBlocking
import lacewingweir.coordination.fleet.FleetDirectory
import lacewingweir.coordination.fleet.FleetUpdate
import lacewingweir.coordination.fleet.StoreContactProof
import lacewingweir.coordination.gossip.DigestNetwork
import lacewingweir.coordination.gossip.DigestSender
import lacewingweir.coordination.gossip.EngineReport
import lacewingweir.coordination.gossip.FleetRateLimiter
import lacewingweir.coordination.gossip.InstanceDigest
import lacewingweir.coordination.gossip.PeerDatagram
import lacewingweir.coordination.gossip.TransferReport
import lacewingweir.coordination.placement.EndpointReservation
import lacewingweir.coordination.placement.EndpointTracker
import lacewingweir.coordination.placement.PlacementRequest
import lacewingweir.coordination.placement.ReservationOutcome
import lacewingweir.coordination.placement.WeightsAgePolicy
import lacewingweir.coordination.store.StoreChange
import lacewingweir.state.fleet.CallerLimits
import lacewingweir.state.fleet.CustomerSpec
import lacewingweir.state.fleet.FleetConfig
import lacewingweir.state.fleet.PeerEntry
import lacewingweir.state.fleet.Prompt
import lacewingweir.state.fleet.PromptPart
import lacewingweir.state.fleet.RateLimit
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.EndpointTag
import lacewingweir.state.id.WeightsNumber
import lacewingweir.state.time.SuspendAwareClock
import lacewingweir.testing.FLEET_DOMAIN
import lacewingweir.testing.FLEET_MODEL
import lacewingweir.testing.FLEET_SERVICE
import lacewingweir.testing.ManualTimers
import lacewingweir.testing.engineFleet
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThan
import kotlin.random.Random

/**
 * Guards against digests that fill the links of small instances, so that calls, closes and configurations queue behind
 * them. Replays the load of one instance of the largest deployment: 7.8 requests a second, 78 engines.
 */
internal class DigestTrafficTest {
    private val timers = ManualTimers()
    private val random = Random(1)
    private val engineIds = Array(78) { "i-%010x".format(it * 7_919_311L) }
    private val customers =
        List(16) { CustomerSpec(CustomerId("cust%03d".format(it)), emptySet(), null, LIMIT, 1, false) }
    private val tracker =
        EndpointTracker(
            timers,
            FLEET_DOMAIN,
            WeightsAgePolicy(SuspendAwareClock(timers, { 0 })) { 8_000 },
            random,
            learnSpeeds = true,
        )
    private val limiter = FleetRateLimiter(timers, 8_000, { emptySet() }, { 1 })
    private val directory =
        FleetDirectory(
            { key, _ -> FleetUpdate.Peer(PeerEntry(key, "10.1.0.1", 7_600, FLEET_DOMAIN)) },
            SuspendAwareClock(timers, { 0 }),
            timers,
            StoreContactProof(SuspendAwareClock(timers, { 0 })),
        )

    /** Counts the bytes on the link of the sender, by the time at which they were sent. */
    private val network =
        object : DigestNetwork {
            val sent = ArrayList<Pair<Long, Long>>()

            override suspend fun send(
                datagram: PeerDatagram,
                targets: List<Pair<String, Int>>,
            ): Int {
                val bytes = DigestCodec.encode(datagram).size + HEADER_BYTES
                sent += timers.nowMillis() to bytes * targets.size.toLong()
                return bytes
            }

            /** Greatest average over [WINDOW_MILLIS]. */
            fun maxBytesPerSecond(): Long =
                sent.maxOf { (start, _) ->
                    sent.filter { it.first in start until start + WINDOW_MILLIS }.sumOf { it.second }
                } * 1_000 / WINDOW_MILLIS
        }
    private val loading = HashSet<EndpointId>()
    private val sender =
        DigestSender(
            SELF,
            directory,
            network,
            timers,
            createDigest = { intervalMillis, withWindowTotals ->
                InstanceDigest(
                    instance = SELF,
                    run = 1_780_000_000_000,
                    number = 0,
                    intervalMillis = intervalMillis,
                    admittedTokens = limiter.admittedTokens(),
                    loads = tracker.ownLoads(),
                    weights = tracker.engineNews(loading),
                    prefills = tracker.takePrefills(),
                    windowTotals = if (withWindowTotals) limiter.windowTotals() else null,
                    demands = limiter.demands(),
                    speeds = tracker.takeSpeeds(),
                    transfers = transferReport().takeIf { it.engines.isNotEmpty() },
                )
            },
            createReport = { EngineReport(SELF, tracker.engineWeights(it, loading), validityMillis = 1_000) },
            createTransferReport = ::transferReport,
            createCrashNews = { null },
        )

    private fun startInstance(peers: Int) {
        directory.onListed(List(peers) { StoreChange("front-domain-%02d".format(it), it + 1L, ByteArray(0)) })
        limiter.configure(FleetConfig(1, emptyList(), emptyList(), customers, CallerLimits()), emptySet())
        tracker.onFleet(engineFleet(*engineIds))
        sender.start()
    }

    /** Runs are handed over from all engines that load to as many others. */
    private fun transferReport(): TransferReport {
        val sources = loading.map { EndpointTag.of(it, startedAtUnixMillis = 0) }
        return TransferReport(SELF, number = 1_780_000_000_000, sources + sources.map { EndpointTag(it.value + 1) })
    }

    /** Runs requests for [seconds]. Each engine answers with [weights]. */
    private fun runRequests(
        seconds: Int,
        weights: Long,
    ) {
        val running = ArrayDeque<EndpointReservation>()
        repeat(seconds * REQUESTS_PER_SECOND) {
            limiter.admit(customers.random(random), 3_000)
            tracker.place(PlacementRequest(FLEET_SERVICE, prompt(), null, emptySet()))?.let { reservation ->
                reservation.recordWeights(WeightsNumber(weights))
                reservation.onFirstEvent()
                running += reservation
            }
            if (running.size > REQUESTS_PER_SECOND) running.removeFirst().end(ReservationOutcome.SERVED)
            timers.advance(1_000L / REQUESTS_PER_SECOND)
        }
    }

    private fun prompt() = Prompt(FLEET_MODEL, 1_000, 10, List(3) { PromptPart("p${random.nextInt(1_000)}", 300) })

    @Test
    fun `digests leave the link of a small instance to its callers`() {
        startInstance(peers = 83)
        runRequests(seconds = 40, weights = 2)
        expectThat(network.maxBytesPerSecond()).isLessThan(MAX_BYTES_PER_SECOND)
    }

    @Test
    fun `a rollout that loads many engines at once leaves the leader's link to its callers`() {
        startInstance(peers = 83)
        runRequests(seconds = 2, weights = 1)
        loading += engineIds.take(39).map { EndpointId(it) }
        runBlocking { sender.reportEngines(loading) }
        for (id in loading.toList()) {
            timers.advance(25)
            loading -= id
            tracker.setLoading(id, loading = false, weights = WeightsNumber(2))
            runBlocking {
                sender.reportEngines(listOf(id))
                sender.reportTransfers()
            }
        }
        runRequests(seconds = 2, weights = 2)
        expectThat(network.maxBytesPerSecond()).isLessThan(2 * MAX_BYTES_PER_SECOND)
    }

    private companion object {
        const val SELF = "front-domain-00"
        const val REQUESTS_PER_SECOND = 8
        const val HEADER_BYTES = 28
        val LIMIT = RateLimit(1e6, 1e6)

        const val WINDOW_MILLIS = 2_000L

        /** A fifth of 7 Mbit/s, the smallest link of the deployments. */
        const val MAX_BYTES_PER_SECOND = 175_000L
    }
}
