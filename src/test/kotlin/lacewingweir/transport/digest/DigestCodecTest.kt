package lacewingweir.transport.digest

import lacewingweir.coordination.gossip.CrashNews
import lacewingweir.coordination.gossip.EndpointLimit
import lacewingweir.coordination.gossip.InstanceDigest
import lacewingweir.coordination.gossip.PeerDatagram
import lacewingweir.coordination.gossip.SpeedSample
import lacewingweir.state.crash.EndpointCrash
import lacewingweir.state.crash.Suspect
import lacewingweir.state.id.EndpointTag
import lacewingweir.state.id.PartId
import lacewingweir.state.id.SuspectId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

internal class DigestCodecTest {
    private val parts = List(16) { SuspectId.of(PartId("%08x".format(it * 7_919_311L))) }
    private val crashes =
        parts.mapIndexed { n, part ->
            EndpointCrash(
                EndpointTag(n * 1_000_003),
                listOf(Suspect(parts[0], 0, answered = true), Suspect(part, 1)),
            )
        }
    private val digest =
        InstanceDigest(
            "front-domain-00",
            run = 1_780_000_000_000,
            number = 7,
            intervalMillis = 250,
            admittedTokens = emptyMap(),
            loads = emptyList(),
            weights = emptyList(),
            crashNews = CrashNews(crashes, answered = parts, blocked = parts, instance = "front-domain-00"),
            limits = List(6) { EndpointLimit(EndpointTag(it), 1.2, ageMillis = 300) },
            speeds = listOfNotNull(SpeedSample.of(EndpointTag(-5), 100, 40, 8)),
        )

    /** Guards against news that are lost more often than other datagrams because they are sent in fragments. */
    @Test
    fun `the largest news of prompt parts fit in one packet`() {
        expectThat(DigestCodec.encode(PeerDatagram(crashNews = digest.crashNews)).size).isLessThan(1_400)
    }

    @Test
    fun `a digest is decoded as it was encoded`() {
        expectThat(DigestCodec.decode(DigestCodec.encode(PeerDatagram(digest))).digest).isEqualTo(digest)
    }

    /** Guards against digests that grow although no part is suspected and no endpoint is limited. */
    @Test
    fun `a digest without news takes up a few bytes for them`() {
        val quiet = digest.copy(crashNews = null, limits = emptyList(), speeds = emptyList())
        expectThat(DigestCodec.encode(PeerDatagram(quiet)).size).isLessThan(80)
    }
}
