package lacewingweir.protocol.peer

import lacewingweir.coordination.peer.BundleOffer
import lacewingweir.coordination.peer.EpochOffer
import lacewingweir.coordination.peer.Heartbeat
import lacewingweir.coordination.peer.HeartbeatAck
import lacewingweir.coordination.peer.KeyChanges
import lacewingweir.coordination.peer.LoanGrant
import lacewingweir.coordination.peer.LoanRefusal
import lacewingweir.coordination.peer.LoanRequest
import lacewingweir.coordination.peer.LoanReturn
import lacewingweir.coordination.peer.PeerAddress
import lacewingweir.coordination.peer.PeerAddresses
import lacewingweir.coordination.peer.PeerMessage
import lacewingweir.coordination.peer.StateRequest
import lacewingweir.state.bundle.SignedBundle
import lacewingweir.state.id.BundleNumber
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.Incarnation
import lacewingweir.state.id.InstanceName
import lacewingweir.state.id.KeyDigest
import lacewingweir.state.keys.KeyRecord
import lacewingweir.state.keys.KeyStatus
import lacewingweir.state.membership.EpochDocument
import lacewingweir.state.membership.EpochPhase
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.Size
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random

internal class PeerCodecTest {
    private val address =
        PeerAddress(InstanceName("a"), Incarnation("i1"), "127.0.0.1", 7000, 7001, FailureDomain("namur"))

    private val messages: List<PeerMessage> =
        listOf(
            Heartbeat(7, 3, 2, BundleNumber(4), 12, true, mapOf(CustomerId("petra") to 900L)),
            HeartbeatAck(7, 3),
            LoanRequest(1, CustomerId("agence"), 500),
            LoanGrant(1, 2, CustomerId("agence"), 500, 400, 2.5),
            LoanRefusal(1),
            LoanReturn(2, 30),
            BundleOffer(SignedBundle("{}", "c2ln", "ops", "op-1")),
            KeyChanges(listOf(KeyRecord(KeyDigest("ab"), CustomerId("petra"), KeyStatus.WITHDRAWN))),
            EpochOffer(EpochDocument(3, EpochPhase.PENDING, listOf(InstanceName("a")), listOf(InstanceName("b")))),
            PeerAddresses(listOf(address)),
            StateRequest,
        )

    @Test
    fun `every message type is decoded to an equal message`() {
        for (message in messages) {
            val encoded = checkNotNull(PeerCodec.encode(message))
            expectThat(PeerCodec.decode(encoded.frame)).isEqualTo(PeerDecodeResult.Decoded(encoded.type, message))
        }
    }

    // Guards against an instance of an older release that disconnects a newer one during an upgrade.
    @Test
    fun `unknown types and unknown fields are not reported as malformed`() {
        val body = PeerCodec.cbor.encodeToByteArray(PeerHello.serializer(), PeerHello(1, address, ByteArray(3)))
        val unknown = PeerEnvelope(PeerCodec.PROTOCOL_VERSION, "invented", body)
        expectThat(PeerCodec.decode(PeerCodec.cbor.encodeToByteArray(PeerEnvelope.serializer(), unknown)))
            .isEqualTo(PeerDecodeResult.UnknownType("invented"))
        // {"number": 1, "epoch": 2, "later": [1]}
        val knownFields = byteArrayOf(0xa3.toByte()) + text("number") + 1 + text("epoch") + 2
        val withUnknownField = knownFields + text("later") + byteArrayOf(0x81.toByte(), 1)
        val frame = PeerEnvelope(PeerCodec.PROTOCOL_VERSION, "heartbeatAck", withUnknownField)
        expectThat(PeerCodec.decode(PeerCodec.cbor.encodeToByteArray(PeerEnvelope.serializer(), frame)))
            .isEqualTo(PeerDecodeResult.Decoded("heartbeatAck", HeartbeatAck(1, 2)))
        val later = PeerEnvelope(2, "heartbeatAck", withUnknownField)
        expectThat(PeerCodec.decode(PeerCodec.cbor.encodeToByteArray(PeerEnvelope.serializer(), later)))
            .isEqualTo(PeerDecodeResult.UnsupportedVersion(2))
    }

    private fun text(value: String): ByteArray = byteArrayOf((0x60 + value.length).toByte()) + value.toByteArray()

    // Guards against memory allocation for a length that is declared but not sent.
    @Test
    fun `declared sizes beyond the input and deep nesting are malformed`() {
        val hugeList = byteArrayOf(0xa1.toByte()) + text("records") + byteArrayOf(0x9a.toByte(), 0x7f, -1, -1, -1)
        val body = PeerEnvelope(PeerCodec.PROTOCOL_VERSION, "keyChanges", hugeList)
        expectThat(PeerCodec.decode(PeerCodec.cbor.encodeToByteArray(PeerEnvelope.serializer(), body)))
            .isA<PeerDecodeResult.Malformed>()
        expectThat(PeerCodec.decode(ByteArray(1 shl 19) { 0x81.toByte() })).isA<PeerDecodeResult.Malformed>()
        expectThat(PeerCodec.decode(ByteArray(0))).isA<PeerDecodeResult.Malformed>()
    }

    @Test
    fun `frames above the size limit are neither encoded nor decoded`() {
        val big = BundleOffer(SignedBundle("x".repeat(PeerCodec.MAX_FRAME_BYTES), "s", "ops", "op"))
        expectThat(PeerCodec.encode(big)).isNull()
        expectThat(PeerCodec.encode(BundleOffer(SignedBundle("x".repeat(1_000_000), "s", "ops", "op")))).isNotNull()
        expectThat(PeerCodec.decode(ByteArray(PeerCodec.MAX_FRAME_BYTES + 1))).isA<PeerDecodeResult.TooLarge>()
    }

    @Property(tries = 2_000)
    fun `decoding random bytes never throws`(
        @ForAll @Size(max = 200) bytes: ByteArray,
    ) {
        PeerCodec.decode(bytes)
    }

    // Mutations of valid frames exercise more of the decoders than random bytes do.
    @Property(tries = 2_000)
    fun `decoding a mutated frame never throws`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val frame = checkNotNull(PeerCodec.encode(messages.random(random))).frame
        repeat(1 + random.nextInt(4)) { frame[random.nextInt(frame.size)] = random.nextInt().toByte() }
        PeerCodec.decode(frame.copyOf(frame.size - random.nextInt(3)))
    }
}
