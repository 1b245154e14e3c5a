package lacewingweir.fleet

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import lacewingweir.cli.operations.KeyWriteResult
import lacewingweir.cli.operations.KeyWriter
import lacewingweir.coordination.store.StoreResult
import lacewingweir.coordination.store.valueOrNull
import lacewingweir.protocol.operator.OperatorJson
import lacewingweir.protocol.operator.WithdrawalRequest
import lacewingweir.state.bundle.Customer
import lacewingweir.state.id.CustomerId
import lacewingweir.state.keys.KeyDirectory
import lacewingweir.testing.CallerOutcome
import lacewingweir.testing.ProcessFleet
import lacewingweir.testing.ProgramProcess
import lacewingweir.testing.answerText
import lacewingweir.testing.chat
import lacewingweir.testing.engineStats
import lacewingweir.testing.eventually
import lacewingweir.testing.hasBundle
import lacewingweir.testing.isReady
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResult
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.MethodOrderer
import org.junit.jupiter.api.Order
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.TestMethodOrder
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.io.File
import java.nio.file.Files

/**
 * Withdrawal of keys, draining, publication of bundles and restarts on one fleet of processes with slow engines.
 *
 * The tests run in order and share the fleet; those that restart processes come last.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@TestMethodOrder(MethodOrderer.OrderAnnotation::class)
internal class KeyFaultTest {
    private val fleet =
        ProcessFleet(
            engineArgs = listOf("--decode-millis-per-token", "100"),
            extraCustomers =
                listOf("store-key", "operator-key").map {
                    Customer(CustomerId(it), 1_000_000, 10_000_000, keys = listOf(KeyDirectory.digestOf(it)))
                },
        )
    private var bundleNumber = 1L

    @AfterAll
    fun tearDown() = fleet.close()

    private fun startStreams(
        scope: CoroutineScope,
        key: String,
    ): List<Deferred<CallerOutcome>> = (0..2).map { scope.async { fleet.chat(it, "stream $it", STREAM_TOKENS, key) } }

    /**
     * Sends short requests to the first instance until three seconds after [sinceNanos].
     *
     * Then checks that every instance rejects [key] and that all [streams] ended in an error within the three seconds.
     */
    private suspend fun expectWithdrawn(
        sinceNanos: Long,
        streams: List<Deferred<CallerOutcome>>,
        key: String,
    ) {
        while (System.nanoTime() - sinceNanos < WITHDRAWAL_LIMIT_NANOS) fleet.chat(0, "meanwhile", 1, key)
        expectThat((0..2).map { fleet.chat(it, "afterwards", 1, key).status }).isEqualTo(List(3) { 401 })
        for (stream in streams.awaitAll()) {
            expectThat(stream.endedNanos - sinceNanos).isLessThanOrEqualTo(WITHDRAWAL_LIMIT_NANOS)
            expectThat(stream.stream?.error).isNotNull()
            expectThat(stream.stream?.done).isEqualTo(false)
        }
    }

    // Guards against a withdrawn key that remains valid for open streams or on some of the instances.
    @Test
    @Order(1)
    fun `a withdrawal through the store ends streams and is in force everywhere within three seconds`() =
        runBlocking<Unit> {
            val streams = startStreams(this, "store-key")
            delay(1_000)
            val written = KeyWriter(fleet.store).withdraw(KeyDirectory.digestOf("store-key"))
            expectThat(written).isEqualTo(KeyWriteResult.Written)
            expectWithdrawn(System.nanoTime(), streams, "store-key")
        }

    // Guards against a withdrawal that takes effect only after the end of a store outage.
    @Test
    @Order(2)
    fun `a withdrawal through an operator port works while the platform is down`() =
        runBlocking<Unit> {
            val streams = startStreams(this, "operator-key")
            delay(1_000)
            fleet.setFaults(fleet.platformControlPort, """{"down":"refuse"}""")
            delay(500)
            val digest = KeyDirectory.digestOf("operator-key")
            val body = OperatorJson.encode(WithdrawalRequest.serializer(), WithdrawalRequest(digest.value))
            val port = fleet.instances[1].operatorPort
            val request = ClientRequest("127.0.0.1", port, "POST", "/keys/withdraw", body = body.toByteArray())
            val startNanos = System.nanoTime()
            val answer = fleet.http.open(request) as ClientResult.Answered
            expectThat(answer.response.status).isEqualTo(200)
            answer.response.close()
            expectWithdrawn(startNanos, streams, "operator-key")
            fleet.setFaults(fleet.platformControlPort, "{}")
            eventually("the store holds the withdrawal", 10_000) {
                fleet.store.get("/lw/keys/${digest.value}").valueOrNull() != null
            }
        }

    // Guards against authentication with outdated key records: an instance that is cut off can't learn of withdrawals.
    @Test
    @Order(3)
    fun `an instance cut off from store and peers refuses requests with keys and is not ready within three seconds`() =
        runBlocking<Unit> {
            val others = fleet.instances.drop(1).map { checkNotNull(it.process) }
            others.forEach { it.pause() }
            fleet.instances[0].storeProxy.cut()
            delay(3_050)
            val refused = fleet.chat(0, "cut off", 1)
            val ready = fleet.isReady(0)
            others.forEach { it.resume() }
            fleet.instances[0].storeProxy.restore()
            expectThat(refused.status to refused.runState).isEqualTo(503 to "not-run")
            expectThat(ready).isFalse()
            fleet.instances.forEach { fleet.awaitReady(it) }
        }

    // Guards against new requests to an endpoint that the platform is about to remove.
    @Test
    @Order(4)
    fun `an endpoint marked leaving gets no new requests after three seconds`() =
        runBlocking<Unit> {
            setEndpointState("leaving")
            delay(3_000)
            val runsBefore = fleet.engineStats(1).runs.size
            val outcomes = (0 until 45).map { n -> async { fleet.chat(n % 3, "leaving $n", 2) } }.awaitAll()
            expectThat(outcomes.map { it.status }).all { isEqualTo(200) }
            expectThat(fleet.engineStats(1).runs.size).isEqualTo(runsBefore)
            setEndpointState("live")
        }

    private suspend fun setEndpointState(state: String) {
        val key = "/platform/endpoints/engine-2"
        val revision =
            fleet.store
                .get(key)
                .valueOrNull()
                ?.modRevision ?: 0
        val written = fleet.store.compareAndSet(key, revision, """{"state":"$state"}""".toByteArray())
        expectThat(written).isEqualTo(StoreResult.Ok(true))
    }

    // Guards against two operators who are both told that their bundle with the same number was published.
    @Test
    @Order(5)
    fun `of two operators that publish the same number, one gets exit code 3`() =
        runBlocking<Unit> {
            bundleNumber = 2
            val files = List(2) { Files.createTempFile("bundle", ".json").toFile() }
            files.forEach { it.writeBytes(fleet.signedBundle(bundleNumber)) }
            val publishers = files.map(::publish)
            expectThat(publishers.map { it.awaitExit() }.sortedBy { it }).isEqualTo(listOf(0, 3))
            eventually("bundle $bundleNumber is in force", 5_000) { (0..2).all { fleet.hasBundle(it, bundleNumber) } }
            files.forEach { it.delete() }
        }

    private fun publish(file: File): ProgramProcess {
        val store = "127.0.0.1:${fleet.platform.port}"
        return ProgramProcess.start("publish", "bundle", "publish", file.path, "--store", store)
    }

    // Guards against a shutdown that aborts open streams.
    @Test
    @Order(6)
    fun `a terminated instance ends its streams first and serves again after its restart`() =
        runBlocking<Unit> {
            val terminated = fleet.instances[2]
            val streams = (0 until 6).map { n -> async { fleet.chat(2, "drained $n", STREAM_TOKENS) } }
            delay(1_500)
            val exitCode = async(Dispatchers.IO) { checkNotNull(terminated.process).terminate(30) }
            streams.awaitAll().forEachIndexed { n, outcome ->
                expectThat(outcome.isComplete(answerText("drained $n", STREAM_TOKENS))).isTrue()
            }
            // After SIGTERM the JVM exits with 143 even if the shutdown completed, so the test checks the log instead.
            expectThat(exitCode.await()).isNotNull()
            val log = checkNotNull(terminated.process).log.readText()
            expectThat("serve: stopped" in log && "still running" !in log).isTrue()
            val startNanos = System.nanoTime()
            fleet.startInstance(terminated)
            eventually("the restarted instance serves", 15_000) { fleet.chat(2, "again", 1).status == 200 }
            println("restart: served after ${(System.nanoTime() - startNanos) / 1_000_000} ms, process start included")
        }

    // Guards against instances that don't serve again after a simultaneous restart of most of the fleet.
    @Test
    @Order(7)
    fun `all instances but one serve again after they were killed and restarted`() =
        runBlocking<Unit> {
            val restarted = fleet.instances.drop(1)
            restarted.forEach { checkNotNull(it.process).kill() }
            val startNanos = System.nanoTime()
            restarted.forEach(fleet::startInstance)
            eventually("restarted instances serve", 15_000) {
                (1..2).all { fleet.chat(it, "herd", 1).status == 200 }
            }
            println("herd restart: served after ${(System.nanoTime() - startNanos) / 1_000_000} ms")
            restarted.forEach { fleet.awaitReady(it) }
        }

    // Guards against open routes that wait for the store after a restart. Rate-limited requests do wait for it, because
    // a restarted instance gets its share of the rate through the store.
    @Test
    @Order(8)
    fun `instances restarted while the platform is down serve open routes and recover with the platform`() =
        runBlocking<Unit> {
            fleet.setFaults(fleet.platformControlPort, """{"down":"refuse"}""")
            val restarted = fleet.instances.drop(1)
            restarted.forEach { checkNotNull(it.process).kill() }
            restarted.forEach(fleet::startInstance)
            eventually("restarted instances serve open routes", 15_000) { restarted.all { openRoute(it) == 200 } }
            val outcomes = (0..2).map { fleet.chat(it, "outage", 1) }
            println("herd restart in an outage: keyed requests got ${outcomes.map { it.status to it.runState }}")
            expectThat(outcomes).all {
                get { status == 200 || runState == "not-run" }.isTrue()
            }
            fleet.setFaults(fleet.platformControlPort, "{}")
            val startNanos = System.nanoTime()
            eventually("all serve once the platform is back", 30_000) {
                (0..2).all { fleet.chat(it, "back", 1).status == 200 }
            }
            println("after the outage: served after ${(System.nanoTime() - startNanos) / 1_000_000} ms")
        }

    private suspend fun openRoute(instance: ProcessFleet.Instance): Int? {
        val response = fleet.post(instance, "/services/lots?lot=1", "{}", emptyList())
        response?.close()
        return response?.status
    }

    // Guards against a store that is restored from an old copy and reverts the bundle and the withdrawals of the fleet.
    @Test
    @Order(9)
    fun `a store restored to an older bundle without withdrawals is updated and the fleet keeps its newer state`() =
        runBlocking<Unit> {
            val olderBundle = fleet.signedBundle(1)
            fleet.replacePlatform()
            fleet.store.compareAndSet("/lw/bundle", 0, olderBundle)
            val digest = KeyDirectory.digestOf("store-key").value
            eventually("the store holds the newer bundle and the withdrawal again", 15_000) {
                val storedBundle =
                    fleet.store
                        .get("/lw/bundle")
                        .valueOrNull()
                        ?.value
                        ?.decodeToString()
                        .orEmpty()
                val keyEntry = fleet.store.get("/lw/keys/$digest").valueOrNull()
                keyEntry != null && storedBundle.contains("number\\\":$bundleNumber,")
            }
            expectThat((0..2).map { fleet.hasBundle(it, bundleNumber) }).isEqualTo(List(3) { true })
            expectThat((0..2).map { fleet.chat(it, "restored", 1, "store-key").status }).isEqualTo(List(3) { 401 })
        }

    private companion object {
        const val STREAM_TOKENS = 60
        const val WITHDRAWAL_LIMIT_NANOS = 3_000_000_000L
    }
}
