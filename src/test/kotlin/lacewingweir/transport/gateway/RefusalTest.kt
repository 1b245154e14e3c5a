package lacewingweir.transport.gateway

import io.opentelemetry.sdk.OpenTelemetrySdk
import io.opentelemetry.sdk.common.CompletableResultCode
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.data.SpanData
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor
import io.opentelemetry.sdk.trace.export.SpanExporter
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import lacewingweir.transport.http.ClientResponse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.util.concurrent.CopyOnWriteArrayList

internal class RefusalTest {
    private val spans = CopyOnWriteArrayList<SpanData>()
    private val exporter =
        object : SpanExporter {
            override fun export(batch: Collection<SpanData>): CompletableResultCode {
                spans += batch
                return CompletableResultCode.ofSuccess()
            }

            override fun flush(): CompletableResultCode = CompletableResultCode.ofSuccess()

            override fun shutdown(): CompletableResultCode = CompletableResultCode.ofSuccess()
        }
    private val telemetry =
        OpenTelemetrySdk
            .builder()
            .setTracerProvider(
                SdkTracerProvider.builder().addSpanProcessor(SimpleSpanProcessor.create(exporter)).build(),
            ).build()
    private val fixture = GatewayFixture(telemetry)

    @AfterEach
    fun tearDown() = fixture.close()

    private suspend fun ClientResponse.expectRefusal(
        status: Int,
        code: String,
        param: String? = null,
    ) {
        expectThat(this.status).isEqualTo(status)
        expectThat(headers.get("X-Lacewingweir-Run")).isEqualTo("not-run")
        expectThat(headers.get("X-Request-Id")).isNotNull()
        val error =
            Json
                .parseToJsonElement(text())
                .jsonObject
                .getValue("error")
                .jsonObject
        expectThat(error.getValue("code").jsonPrimitive.content).isEqualTo(code)
        if (param != null) expectThat(error.getValue("param").jsonPrimitive.content).isEqualTo(param)
    }

    @Test
    fun `invalid requests are refused with the code and field of the error`() =
        runBlocking<Unit> {
            fixture.chat(key = null).expectRefusal(401, "missing_key")
            fixture.chat(key = "wrong").expectRefusal(401, "invalid_key")
            fixture.chat(headers = listOf("x-api-key" to "other")).expectRefusal(401, "ambiguous_key")
            fixture.chat("{").expectRefusal(400, "invalid_request")
            fixture.chat("""{"model":"m","messages":[{}]}""").expectRefusal(400, "invalid_request", "messages[0].role")
            val unknown = GatewayFixture.STREAM_BODY.replace("\"m\"", "\"n\"")
            fixture.chat(unknown).expectRefusal(404, "model_not_found", "model")
            fixture.chat(headers = listOf("Last-Event-ID" to "1.x")).expectRefusal(400, "invalid_resume_token")
            fixture.call("GET", "/v1/unknown").expectRefusal(404, "unknown_path")
            fixture.bundle = fixture.bundle.copy(customers = emptyList())
            fixture.chat().expectRefusal(403, "forbidden")
            expectThat(fixture.engines.flatMap { it.receivedRequests }).isEmpty()
        }

    @Test
    fun `temporary refusals include a retry time`() =
        runBlocking<Unit> {
            fixture.rates.refuse = true
            val overRate = fixture.chat()
            expectThat(overRate.headers.get("Retry-After")).isEqualTo("2")
            overRate.expectRefusal(429, "rate_limit_exceeded")
            fixture.rates.refuse = false
            fixture.keys.stale = true
            val stale = fixture.chat()
            expectThat(stale.headers.get("Retry-After")).isEqualTo("1")
            stale.expectRefusal(503, "keys_not_fresh")
            fixture.keys.stale = false
            fixture.engines.forEach { it.refuseNotRun = true }
            fixture.chat().expectRefusal(503, "no_engine")
            fixture.engines.forEach { it.close() }
            fixture.chat().expectRefusal(503, "no_engine")
        }

    @Test
    fun `the model list contains the names of models and routes`() =
        runBlocking<Unit> {
            fixture.call("GET", "/v1/models", key = null).expectRefusal(401, "missing_key")
            val list = Json.parseToJsonElement(fixture.call("GET", "/v1/models").text()).jsonObject
            val names =
                list.getValue("data").jsonArray.map {
                    it.jsonObject
                        .getValue("id")
                        .jsonPrimitive.content
                }
            expectThat(names).containsExactlyInAnyOrder("tags", "m")
        }

    // Guards against an API key that is exposed to an engine or in a span.
    @Test
    fun `no key reaches an engine or a span and the trace context is propagated`() =
        runBlocking<Unit> {
            val trace = "0af7651916cd43dd8448eb211c80319c"
            val parent = "00-$trace-b7ad6b7169203331-01"
            val response = fixture.chat(headers = listOf("x-api-key" to GatewayFixture.KEY, "traceparent" to parent))
            response.events()
            val inBody = fixture.chat(GatewayFixture.STREAM_BODY.replace("hello", GatewayFixture.KEY))
            expectThat(inBody.status).isEqualTo(400)
            val engine = fixture.engines[0].receivedRequests.single()
            expectThat(GatewayFixture.KEY in engine.head || GatewayFixture.KEY in engine.body).isEqualTo(false)
            expectThat(engine.head).contains("traceparent=00-$trace")
            fixture.eventually { spans.count { it.traceId == trace } == 3 }
            expectThat(spans.filter { it.traceId == trace }.map { it.name })
                .containsExactlyInAnyOrder("schedule", "attempt", "request")
            expectThat(spans.filter { GatewayFixture.KEY in it.toString() }).isEmpty()
        }
}
