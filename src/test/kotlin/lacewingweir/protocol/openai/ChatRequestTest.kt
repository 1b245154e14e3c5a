package lacewingweir.protocol.openai

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import kotlin.random.Random

internal class ChatRequestTest {
    private val message = """{"role":"user","content":"hé"}"""
    private val valid = """{"model":"m","messages":[$message],"stream":true,"max_tokens":5,"temperature":0.1}"""

    private fun parse(text: String): ChatRequestResult = ChatRequest.parse(text.encodeToByteArray())

    private fun field(text: String): String? = (parse(text) as ChatRequestResult.Invalid).field

    @Test
    fun `a request keeps unknown fields and joins the prompt text`() {
        val request = (parse(valid) as ChatRequestResult.Parsed).request
        expectThat(request.body.toString()).isEqualTo(valid)
        expectThat(request.promptText).isEqualTo("user: hé\n")
        expectThat(request.promptTokensUpperBound(4)).isEqualTo(3)
        expectThat(request.maxAnswerTokens).isEqualTo(5)
    }

    @Test
    fun `an error is reported with the path of its field`() {
        expectThat(field(valid.replace("\"m\"", "3"))).isEqualTo("model")
        expectThat(field(valid.replace("true", "\"yes\""))).isEqualTo("stream")
        expectThat(field(valid.replace(":5", ":0"))).isEqualTo("max_tokens")
        expectThat(field(valid.replace(":5", ":99999999999999999999"))).isEqualTo("max_tokens")
        expectThat(field(valid.replace("[$message]", "[]"))).isEqualTo("messages")
        expectThat(field(valid.replace("\"hé\"", "7"))).isEqualTo("messages[0].content")
        expectThat(field(valid.replace("\"hé\"", """[{"type":"text"}]"""))).isEqualTo("messages[0].content[0].text")
        expectThat(field(valid.replace("0.1", "abc"))).isEqualTo(null)
    }

    // Deep nesting could overflow the stack of the parser, and a request of unlimited size the memory.
    @Test
    fun `nesting depth and size are limited`() {
        val deeplyNested = valid.replace("0.1", "[".repeat(100_000) + "]".repeat(100_000))
        expectThat(parse(deeplyNested)).isA<ChatRequestResult.Invalid>()
        val tooLong = ChatRequest.parse(valid.encodeToByteArray(), JsonLimits(maxBytes = 10))
        expectThat((tooLong as ChatRequestResult.Invalid).tooLarge).isEqualTo(true)
    }

    // The parser must not throw for any input.
    @Property
    fun `corrupted requests give a result and no exception`(
        @ForAll seed: Long,
        @ForAll @IntRange(min = 1, max = 8) edits: Int,
    ) {
        val random = Random(seed)
        val bytes = valid.encodeToByteArray()
        repeat(edits) { bytes[random.nextInt(bytes.size)] = random.nextInt(256).toByte() }
        ChatRequest.parse(bytes)
        ChatRequest.parse(bytes.copyOf(random.nextInt(bytes.size)))
        ChatChunk.parse(bytes.decodeToString())
    }

    @Property
    fun `arbitrary text gives a result and no exception`(
        @ForAll text: String,
    ) {
        parse(text)
        expectThat(parse("""{"model":$text}""")).isA<ChatRequestResult.Invalid>()
    }
}
