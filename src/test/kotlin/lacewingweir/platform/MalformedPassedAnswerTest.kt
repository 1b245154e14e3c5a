package lacewingweir.platform

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import lacewingweir.coordination.fleet.FleetDirectory
import lacewingweir.coordination.fleet.StoreContactProof
import lacewingweir.coordination.gossip.InstanceDigest
import lacewingweir.coordination.reach.PassTargets
import lacewingweir.coordination.reach.ReachMonitor
import lacewingweir.coordination.time.CoroutineTimerService
import lacewingweir.state.fleet.PeerEntry
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.ServiceName
import lacewingweir.state.time.MonotonicClock
import lacewingweir.state.time.SuspendAwareClock
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResult
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.http.HttpServer
import lacewingweir.transport.relay.CallPasser
import lacewingweir.transport.relay.CallState
import lacewingweir.transport.relay.PassOutcome
import lacewingweir.transport.relay.RelayLimits
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** Guards against malformed responses of another instance that reach the caller of a call that was passed on to it. */
@Timeout(20)
internal class MalformedPassedAnswerTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val http = HttpClient(group)
    private val clock = MonotonicClock.SYSTEM
    private val timers = CoroutineTimerService(scope)
    private val suspendAwareClock = SuspendAwareClock()
    private val proof = StoreContactProof(suspendAwareClock)
    private val directory = FleetDirectory(PlatformItemCodec::decode, suspendAwareClock, timers, proof)
    private val reach = ReachMonitor(clock, timers, scope, { emptySet() }, { emptyList() }, { true })
    private val servers = ArrayList<AutoCloseable>()

    @AfterEach
    fun close() {
        servers.forEach { it.close() }
        http.close()
        scope.cancel()
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
    }

    /** Passes a call on to an instance that sends [response]. Returns the outcome and the status for the caller. */
    private fun pass(response: String): Pair<PassOutcome, Int> =
        runBlocking {
            val other = RawServer { request -> write(response.replace("ID", request.id)) }
            val peer = PeerEntry("b", "127.0.0.1", other.port, FailureDomain("z1"))
            val digest = InstanceDigest("b", 1, 1, 1_000, emptyMap(), emptyList(), emptyList())
            val targets = PassTargets(FailureDomain("z1"), { listOf(peer) }, { listOf(digest) })
            val passer = CallPasser(http, PlatformPassProtocol, reach, targets)
            val outcome = CompletableDeferred<PassOutcome>()
            val instance =
                HttpServer(group, scope, "127.0.0.1", 0) { exchange ->
                    val call = checkNotNull(PlatformRequestDecoder.decode(exchange, clock.nowMillis()))
                    val limits = RelayLimits(maxKeyProofAgeMillis = 4_500, placementWaitMillis = 100)
                    val state = CallState(call, exchange, directory, proof, clock, { limits }, Random(1))
                    state.deadlineAtMillis = clock.nowMillis() + TIMEOUT_MILLIS
                    outcome.complete(passer.pass(state, ServiceName("plain"), repeatable = false))
                    if (!exchange.responseStarted) exchange.respond(BAD_GATEWAY)
                }.start()
            servers += listOf(other, instance)
            val headers = listOf("Attempt-Id" to RelayFixture.REQUEST_ID, "Deadline-Ms" to "$TIMEOUT_MILLIS")
            val request = ClientRequest("127.0.0.1", instance.port, "POST", "/x", headers)
            val answer = (http.open(request) as ClientResult.Answered).response
            outcome.await() to answer.status
        }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "HTTP/1.1 000 None", "HTTP/1.1 600 x", "HTTP/7.3 200 OK", "HTTP/1.1 200 OK\r\nX Field: v",
            "HTTP/1.1 200 OK\r\nX-Field : v", "HTTP/1.1 200 OK\r\nX-Field: v\r\n folded",
        ],
    )
    fun `no caller gets a malformed response of another instance`(head: String) {
        val (outcome, status) = pass("$head\r\nX-Lacewingweir-Passed-Call: ID\r\nContent-Length: 5\r\n\r\nwhole")
        expectThat(outcome).isA<PassOutcome.Unknown>()
        expectThat(status).isEqualTo(BAD_GATEWAY)
    }

    private companion object {
        const val BAD_GATEWAY = 502
        const val TIMEOUT_MILLIS = 2_000L
    }
}
