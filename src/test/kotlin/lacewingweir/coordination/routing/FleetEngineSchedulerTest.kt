package lacewingweir.coordination.routing

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.Customer
import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.bundle.EndpointKind
import lacewingweir.state.bundle.Model
import lacewingweir.state.bundle.TrafficClass
import lacewingweir.state.id.BundleNumber
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.WeightsVersion
import lacewingweir.state.placement.PrefixChain
import lacewingweir.testing.ManualTimers
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import kotlin.random.Random

internal class FleetEngineSchedulerTest {
    private val timers = ManualTimers()
    private val model = Model(ModelName("m"), WeightsVersion("v1"))
    private val leavingIds = HashSet<EndpointId>()

    private fun bundle(
        engines: Int,
        slots: Int,
    ): Bundle =
        Bundle(
            number = BundleNumber(1),
            customers = listOf(Customer(CustomerId("a"), 1_000, 1_000)),
            models = listOf(model),
            endpoints =
                (1..engines).map {
                    Endpoint(
                        id = EndpointId("e$it"),
                        kind = EndpointKind.ENGINE,
                        host = "127.0.0.1",
                        port = it,
                        failureDomain = FailureDomain("d"),
                        models = listOf(model.name),
                        slots = slots,
                    )
                },
            routes = emptyList(),
        )

    private fun scheduler(
        engines: Int = 3,
        slots: Int = 2,
    ): FleetEngineScheduler {
        val current = bundle(engines, slots)
        return FleetEngineScheduler(
            bundles = { current },
            clock = timers,
            timers = timers,
            leaving = { it in leavingIds },
            random = Random(7),
        )
    }

    private fun request(
        text: String = "prompt",
        attempt: Int = 0,
        excluded: Set<EndpointId> = emptySet(),
        deadlineMillis: Long = timers.nowMillis() + 60_000,
    ): ScheduleRequest =
        ScheduleRequest(
            customer = CustomerId("a"),
            trafficClass = TrafficClass.INTERACTIVE,
            model = model,
            prefix = PrefixChain.of("s", text.toByteArray(), 8_000, 2_000),
            promptTokens = 100,
            maxAnswerTokens = 10,
            deadlineMillis = deadlineMillis,
            excluded = excluded,
            attempt = attempt,
        )

    private suspend fun FleetEngineScheduler.lease(request: ScheduleRequest = request()): EngineLease =
        (schedule(request) as ScheduleResult.Granted).lease

    // Guards against a leaked slot: a caller that is cancelled while waiting must not keep its queue entry or its
    // grant.
    @Test
    fun `a cancelled request frees its place for the next one`() =
        runBlocking<Unit> {
            val scheduler = scheduler(engines = 1, slots = 1)
            val first = scheduler.lease()
            val scope = CoroutineScope(Dispatchers.Default)
            val cancelled = scope.async(start = kotlinx.coroutines.CoroutineStart.UNDISPATCHED) { scheduler.lease() }
            val next = scope.async(start = kotlinx.coroutines.CoroutineStart.UNDISPATCHED) { scheduler.lease() }
            cancelled.cancelAndJoin()
            first.finish(AttemptOutcome.COMPLETED)
            expectThat(next.await().endpoint.id).isEqualTo(EndpointId("e1"))
        }

    // Guards against head-of-line blocking by an earlier request that excludes the engine with capacity.
    @Test
    fun `a waiting request with excluded engines does not block others`() =
        runBlocking<Unit> {
            val scheduler = scheduler(engines = 2, slots = 1)
            val free = EndpointId("e2")
            val heldLease = scheduler.lease(request(excluded = setOf(free)).copy(customer = CustomerId("c")))
            val scope = CoroutineScope(Dispatchers.Default)
            val waiting =
                scope.async(start = kotlinx.coroutines.CoroutineStart.UNDISPATCHED) {
                    scheduler.lease(request(excluded = setOf(free)))
                }
            val otherLease = withTimeout(5_000) { scheduler.lease(request().copy(customer = CustomerId("b"))) }
            expectThat(otherLease.endpoint.id).isEqualTo(free)
            heldLease.finish(AttemptOutcome.COMPLETED)
            expectThat(waiting.await().endpoint.id).isEqualTo(EndpointId("e1"))
        }

    // Guards against requests waiting until their deadline when no engine can serve them.
    @Test
    fun `a request is refused immediately if no engine is available`() =
        runBlocking<Unit> {
            val scheduler = scheduler(engines = 2)
            leavingIds += listOf(EndpointId("e1"), EndpointId("e2"))
            expectThat(scheduler.schedule(request())).isA<ScheduleResult.Refused>()
        }

    // Guards against new requests on a leaving engine.
    @Test
    fun `an engine that reports that it is leaving gets no further requests`() =
        runBlocking<Unit> {
            val scheduler = scheduler(engines = 2, slots = 100)
            val first = scheduler.lease()
            first.responseHead(lacewingweir.state.id.Incarnation("i"), load = null, leaving = true)
            repeat(10) { expectThat(scheduler.lease().endpoint.id == first.endpoint.id).isEqualTo(false) }
        }

    // Guards against ejecting every engine when all of them fail for a common reason.
    @Test
    fun `at least half of the engines stay in use`() =
        runBlocking<Unit> {
            val scheduler = scheduler(engines = 4, slots = 100)
            repeat(40) { scheduler.lease(request("p$it")).finish(AttemptOutcome.FAILED) }
            expectThat(scheduler.schedule(request())).isA<ScheduleResult.Granted>()
            expectThat(scheduler.ejectedEndpoints().size).isLessThan(5)
        }

    @Test
    fun `an engine that serves other weights gets no requests for a while`() =
        runBlocking<Unit> {
            val scheduler = scheduler(engines = 2, slots = 100)
            val first = scheduler.lease()
            first.finish(AttemptOutcome.NOT_SERVING)
            repeat(5) { expectThat(scheduler.lease().endpoint.id == first.endpoint.id).isEqualTo(false) }
        }

    @Test
    fun `retries beyond the budget are refused`() =
        runBlocking<Unit> {
            val scheduler = scheduler(slots = 1_000)
            val results = (1..100).map { scheduler.schedule(request(attempt = 1)) }
            expectThat(results.count { it is ScheduleResult.Granted }).isEqualTo(64)
        }

    // Guards against a prefill cost that stays at its initial estimate, which makes engines with capacity look full.
    // Engines report the number of cached tokens only at the end of a response.
    @Test
    fun `the prefill cost is learned from usage reports at the end of responses`() =
        runBlocking<Unit> {
            val scheduler = scheduler(engines = 1, slots = 10)
            repeat(20) { n ->
                val lease = scheduler.lease(longRequest("p$n "))
                timers.advance(160)
                lease.firstToken(null)
                lease.finish(AttemptOutcome.COMPLETED, cachedTokens = 0)
            }
            scheduler.lease(longRequest("first "))
            expectThat(scheduler.schedule(longRequest("second "))).isA<ScheduleResult.Granted>()
        }

    // Guards against a hung engine that keeps requests until the route's deadline, and against a timeout that aborts
    // long prompts on a healthy engine.
    @Test
    fun `the first token timeout is proportional to the expected time`() =
        runBlocking<Unit> {
            val scheduler = scheduler(engines = 1, slots = 10)
            expectThat(scheduler.lease().firstTokenTimeoutMillis).isEqualTo(2_000)
            val long = scheduler(engines = 1, slots = 10).lease(longRequest("p ").copy(promptTokens = 100_000))
            expectThat(long.firstTokenTimeoutMillis).isEqualTo(20_000)
        }

    private fun longRequest(text: String): ScheduleRequest =
        request(text.repeat(16_000).take(32_000), deadlineMillis = timers.nowMillis() + 100).copy(promptTokens = 8_000)
}
