package lacewingweir.transport.operator

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import lacewingweir.coordination.keys.WithdrawalResult
import lacewingweir.protocol.operator.FleetReport
import lacewingweir.protocol.operator.InstanceReport
import lacewingweir.protocol.operator.OperatorJson
import lacewingweir.protocol.operator.WithdrawalReport
import lacewingweir.state.id.InstanceName
import lacewingweir.state.id.KeyDigest
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse

internal class OperatorServerTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val registry = PrometheusRegistry()
    private val unreadyReasons = ArrayList<String>()
    private val withdrawn = ArrayList<KeyDigest>()
    private val report = FleetReport(InstanceReport("a", "d", "i", 4, 2, 0, listOf()), listOf(), degraded = listOf("x"))
    private val sources =
        OperatorSources(
            { unreadyReasons },
            { report },
            { if (it == "r1") "{\"id\":\"r1\"}" else null },
            {
                withdrawn.add(it)
                WithdrawalResult(listOf(InstanceName("a")), listOf(InstanceName("b")), false)
            },
            registry,
        )
    private val server = OperatorServer(group, scope, "127.0.0.1", 0, sources).start()

    @AfterEach
    fun tearDown() {
        server.close()
        scope.cancel()
        group.shutdownGracefully()
    }

    private fun call(
        method: String,
        path: String,
        body: String = "",
    ): HttpResponse<String> {
        val request =
            HttpRequest
                .newBuilder(URI("http://127.0.0.1:${server.port}$path"))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build()
        return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString())
    }

    // Guards against a load balancer that routes callers to an instance that would refuse them.
    @Test
    fun `an instance that is not ready lists the reasons and stays healthy`() {
        expectThat(call("GET", "/readyz").statusCode()).isEqualTo(200)
        unreadyReasons.add("no bundle")
        unreadyReasons.add("key records are stale")
        val response = call("GET", "/readyz")
        expectThat(response.statusCode()).isEqualTo(503)
        expectThat(response.body().lines()).contains("no bundle", "key records are stale")
        expectThat(call("GET", "/healthz").statusCode()).isEqualTo(200)
    }

    @Test
    fun `metrics, fleet and explain return their content`() {
        Counter
            .builder()
            .name("things")
            .register(registry)
            .inc()
        expectThat(call("GET", "/metrics").body()).contains("things_total 1.0")
        expectThat(OperatorJson.decode(FleetReport.serializer(), call("GET", "/fleet").body())).isEqualTo(report)
        expectThat(call("GET", "/explain/r1").body()).isEqualTo("{\"id\":\"r1\"}")
        expectThat(call("GET", "/explain/r2").statusCode()).isEqualTo(404)
        expectThat(call("GET", "/other").statusCode()).isEqualTo(404)
        expectThat(call("POST", "/fleet").statusCode()).isEqualTo(405)
    }

    // Guards against reporting a withdrawal that was not performed, and against accepting a key instead of its digest.
    @Test
    fun `a withdrawal accepts only a digest and lists the instances that confirmed it`() {
        val digest = "a".repeat(64)
        val response = call("POST", "/keys/withdraw", "{\"digest\":\"$digest\"}")
        expectThat(OperatorJson.decode(WithdrawalReport.serializer(), response.body()))
            .isEqualTo(WithdrawalReport(listOf("a"), listOf("b"), false))
        for (body in listOf("", "{}", "{\"digest\":\"my-key\"}", "{\"key\":\"my-key\"}")) {
            expectThat(call("POST", "/keys/withdraw", body).statusCode()).isEqualTo(400)
        }
        expectThat(call("GET", "/keys/withdraw").statusCode()).isEqualTo(405)
        expectThat(withdrawn).containsExactly(KeyDigest(digest))
    }
}
