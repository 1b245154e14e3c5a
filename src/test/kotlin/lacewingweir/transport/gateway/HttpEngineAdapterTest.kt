package lacewingweir.transport.gateway

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.runBlocking
import lacewingweir.coordination.rollout.CommandResult
import lacewingweir.protocol.engine.DropReason
import lacewingweir.standin.engine.StandinEngine
import lacewingweir.standin.engine.StandinEngineFaults
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.id.BundleNumber
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.RequestId
import lacewingweir.state.id.WeightsVersion
import lacewingweir.state.time.MonotonicClock
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.io.ByteArrayOutputStream

internal class HttpEngineAdapterTest {
    private val fixture = GatewayFixture()
    private val adapter = HttpEngineAdapter(fixture.client)
    private val engine = StandinEngine().start()
    private val endpoint = fixture.engines[0].endpoint.copy(port = engine.port)

    @AfterEach
    fun tearDown() {
        engine.close()
        fixture.close()
    }

    // Guards against differences between the wire formats of the router and the stand-in engine.
    @Test
    fun `status and load commands work with the stand-in engine`() =
        runBlocking<Unit> {
            val status = adapter.status(endpoint)
            expectThat(status?.models?.single()?.loading).isEqualTo(false)
            expectThat(adapter.load(endpoint, ModelName("model"), WeightsVersion("v2"), 5))
                .isEqualTo(CommandResult.Accepted)
            expectThat(
                adapter
                    .status(endpoint)
                    ?.models
                    ?.single()
                    ?.loading,
            ).isEqualTo(true)
            expectThat(adapter.load(endpoint, ModelName("model"), WeightsVersion("v3"), 4))
                .isEqualTo(CommandResult.Fenced)
            expectThat(adapter.status(endpoint.copy(port = closedPort()))).isNull()
        }

    @Test
    fun `a stream of the stand-in engine passes all checks and one with a wrong request id is dropped`() =
        runBlocking<Unit> {
            val models =
                fixture.bundle.models.map {
                    it.copy(
                        name = ModelName("model"),
                        weights = WeightsVersion("v1"),
                    )
                }
            val routes = fixture.bundle.routes.map { it.copy(model = ModelName("model")) }
            fixture.bundle = fixture.bundle.copy(models = models, routes = routes)
            fixture.scheduler.endpoints = { listOf(endpoint) }
            val body = GatewayFixture.STREAM_BODY.replace("\"m\"", "\"tags\"")
            val events = fixture.chat(body).events()
            expectThat(events.list.last().data).isEqualTo("[DONE]")
            expectThat(events.list.size).isEqualTo(52)
            engine.setFaults(StandinEngineFaults(wrongRequestId = true))
            expectThat(fixture.chat(body).status).isEqualTo(503)
        }

    // Guards against unbounded growth of request records and metric labels.
    @Test
    fun `request records and customer labels are bounded`() {
        val log = RequestLog(capacity = 2)
        val ids = listOf("a", "b", "c").map(::RequestId)
        ids.forEach { log.add(RequestTrace(it, MonotonicClock.SYSTEM, RunStateTracker(), maxSteps = 2)) }
        expectThat(log.find(ids[0])).isNull()
        expectThat(log.find(ids[2])).isNotNull()
        val registry = PrometheusRegistry()
        val metrics = GatewayMetrics(registry)
        val bundle = Bundle(BundleNumber(1), emptyList(), emptyList(), emptyList(), emptyList())
        metrics.requestFinished("batch", "completed", CustomerId("unlisted"), bundle)
        metrics.responseDropped(DropReason.WEIGHTS)
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(out, registry.scrape())
        expectThat(out.toString())
            .contains("""lacewingweir_requests_total{class="batch",customer="other",outcome="completed"} 1.0""")
            .contains("""lacewingweir_engine_answers_dropped_total{reason="weights"} 1.0""")
    }
}
