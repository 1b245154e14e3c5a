package lacewingweir.state.id

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasLength
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo

internal class RequestFingerprintTest {
    private fun fingerprint(
        sender: String? = "acme",
        method: String = "POST",
        host: String = "h.example",
        target: String = "/lookup/x?y=1",
        body: String = "body",
    ) = RequestFingerprint.of(sender?.let(::CustomerId), method, host, target, body.encodeToByteArray())

    @Test
    fun `equal requests have equal fingerprints`() {
        expectThat(fingerprint()).isEqualTo(fingerprint())
        expectThat(fingerprint().value).hasLength(22)
    }

    @Test
    fun `requests that differ in one field have different fingerprints`() {
        val fingerprints =
            setOf(
                fingerprint(),
                fingerprint(sender = "zeta"),
                fingerprint(sender = null),
                fingerprint(method = "GET"),
                fingerprint(host = "i.example"),
                fingerprint(target = "/lookup/x?y=2"),
                fingerprint(body = "bodz"),
            )
        expectThat(fingerprints).hasSize(7)
    }

    @Test
    fun `bytes that move from one field to the next change the fingerprint`() {
        val fingerprints =
            setOf(
                fingerprint(target = "/ab", body = "c"),
                fingerprint(target = "/a", body = "bc"),
                fingerprint(sender = "ac", method = "me"),
                fingerprint(sender = "acm", method = "e"),
            )
        expectThat(fingerprints).hasSize(4)
    }
}
