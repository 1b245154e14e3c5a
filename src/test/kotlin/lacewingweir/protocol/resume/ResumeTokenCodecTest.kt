package lacewingweir.protocol.resume

import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.RequestId
import lacewingweir.state.id.WeightsVersion
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

internal class ResumeTokenCodecTest {
    private var now = 1_000_000L
    private val codec = ResumeTokenCodec("secret".encodeToByteArray(), 60_000) { now }
    private val position =
        StreamPosition(RequestId("0af7651916cd43dd8448eb211c80319c"), 7, StreamPosition.Phase.CONTENT)

    private fun identity(
        customer: String = "alpha",
        model: String = "m",
        weights: String = "w",
        body: Byte = 1,
    ) = StreamIdentity(CustomerId(customer), ModelName(model), WeightsVersion(weights), byteArrayOf(body))

    private val token = codec.issue(identity(), position)

    @Test
    fun `any instance with the secret can check a token`() {
        val otherCodec = ResumeTokenCodec("secret".encodeToByteArray(), 60_000) { now }
        expectThat(otherCodec.check(token, identity())).isEqualTo(ResumeTokenResult.Valid(position))
        expectThat(token.length).isLessThan(200)
        val codecWithOtherSecret = ResumeTokenCodec("other".encodeToByteArray(), 60_000) { now }
        expectThat(codecWithOtherSecret.check(token, identity())).isEqualTo(ResumeTokenResult.Invalid)
    }

    // Guards against a token that lets another customer or request read the stream.
    @Test
    fun `a token of another stream is rejected with the name of the part that differs`() {
        fun part(identity: StreamIdentity): String = (codec.check(token, identity) as ResumeTokenResult.Mismatch).part
        expectThat(part(identity(customer = "beta"))).isEqualTo("customer")
        expectThat(part(identity(model = "n"))).isEqualTo("model")
        expectThat(part(identity(weights = "v"))).isEqualTo("weights version")
        expectThat(part(identity(body = 2))).isEqualTo("request body")
    }

    @Test
    fun `a token expires`() {
        now += 61_000
        expectThat(codec.check(token, identity())).isEqualTo(ResumeTokenResult.Expired)
    }

    // Guards against tokens with a forged position.
    @Property
    fun `a token with a changed character is invalid`(
        @ForAll @IntRange(max = 500) randomIndex: Int,
        @ForAll char: Char,
    ) {
        val index = randomIndex % token.length
        val changed = token.replaceRange(index, index + 1, char.toString())
        val expected = if (changed == token) ResumeTokenResult.Valid(position) else ResumeTokenResult.Invalid
        expectThat(codec.check(changed, identity())).isEqualTo(expected)
    }

    @Property
    fun `arbitrary text is not a valid token`(
        @ForAll text: String,
    ) {
        expectThat(codec.check(text, identity())).isEqualTo(ResumeTokenResult.Invalid)
    }
}
