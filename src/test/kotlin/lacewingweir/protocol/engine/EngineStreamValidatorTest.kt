package lacewingweir.protocol.engine

import lacewingweir.coordination.routing.EngineLoad
import lacewingweir.state.id.RequestId
import lacewingweir.state.id.WeightsVersion
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

internal class EngineStreamValidatorTest {
    private val validator = EngineStreamValidator(RequestId("r"), 0)

    private fun content(
        index: Long,
        id: String = "r",
        finish: String = "null",
    ): SseEvent {
        val choice = """{"index":0,"delta":{"content":"x"},"finish_reason":$finish}"""
        return SseEvent(index.toString(), null, """{"id":"$id","choices":[$choice]}""")
    }

    private val usage =
        SseEvent("1", null, """{"id":"r","choices":[],"usage":{"prompt_tokens":1,"completion_tokens":1}}""")
    private val done = SseEvent(null, null, "[DONE]")

    private fun EngineStreamValidator.reasonFor(event: SseEvent): DropReason? =
        (next(event) as? EngineEvent.Violation)?.reason

    @Test
    fun `a complete stream is valid`() {
        expectThat(validator.next(content(0, finish = "\"stop\""))).isA<EngineEvent.Content>()
        expectThat(validator.next(usage)).isA<EngineEvent.UsageReport>()
        expectThat(validator.next(done)).isEqualTo(EngineEvent.Done)
    }

    // Guards against responses to another request, and against lost, repeated or missing chunks.
    @Test
    fun `each violation has its reason`() {
        expectThat(
            EngineStreamValidator(RequestId("r"), 0).reasonFor(content(0, id = "s")),
        ).isEqualTo(DropReason.REQUEST_ID)
        expectThat(EngineStreamValidator(RequestId("r"), 0).reasonFor(content(1))).isEqualTo(DropReason.INDEX)
        expectThat(EngineStreamValidator(RequestId("r"), 3).reasonFor(content(2))).isEqualTo(DropReason.INDEX)
        expectThat(EngineStreamValidator(RequestId("r"), 0).reasonFor(done)).isEqualTo(DropReason.FORMAT)
        expectThat(EngineStreamValidator(RequestId("r"), 0).reasonFor(usage)).isEqualTo(DropReason.FORMAT)
        expectThat(
            EngineStreamValidator(RequestId("r"), 1, finished = true).reasonFor(done),
        ).isEqualTo(DropReason.FORMAT)
        expectThat(EngineStreamValidator(RequestId("r"), 1, finished = true).reasonFor(content(1)))
            .isEqualTo(DropReason.FORMAT)
    }

    @Property
    fun `arbitrary events never throw`(
        @ForAll id: String,
        @ForAll data: String,
    ) {
        expectThat(EngineStreamValidator(RequestId("r"), 0).next(SseEvent(id, null, data))).isA<EngineEvent.Violation>()
    }

    // Guards against a response to another request, from other weights or without an incarnation.
    @Test
    fun `a head without the expected request id, incarnation and weights is rejected`() {
        val validHeaders =
            mapOf("X-Request-Id" to "r", "X-Engine-Incarnation" to "i", "X-Engine-Weights" to "w")

        fun reason(headers: Map<String, String>): DropReason? =
            (
                EngineHead.check(
                    RequestId("r"),
                    WeightsVersion("w"),
                    headers::get,
                ) as? EngineHead.CheckResult.Rejected
            )?.reason
        expectThat(reason(validHeaders)).isNull()
        expectThat(reason(validHeaders - "X-Request-Id")).isEqualTo(DropReason.REQUEST_ID)
        expectThat(reason(validHeaders - "X-Engine-Incarnation")).isEqualTo(DropReason.INCARNATION)
        expectThat(reason(validHeaders + ("X-Engine-Weights" to "v"))).isEqualTo(DropReason.WEIGHTS)
    }

    @Property
    fun `a load header is parsed or ignored`(
        @ForAll text: String,
    ) {
        expectThat(EngineHead.parseLoad("running=3;waiting=1;prefill=4000")).isEqualTo(EngineLoad(3, 1, 4000))
        expectThat(EngineHead.parseLoad("$text;running=-1;waiting=1;prefill=2")).isNull()
        EngineHead.parseLoad(text)
    }
}
