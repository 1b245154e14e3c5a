package lacewingweir.protocol.peer

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import lacewingweir.coordination.peer.BundleOffer
import lacewingweir.coordination.peer.EpochOffer
import lacewingweir.coordination.peer.Heartbeat
import lacewingweir.coordination.peer.HeartbeatAck
import lacewingweir.coordination.peer.KeyChanges
import lacewingweir.coordination.peer.KeyConfirmation
import lacewingweir.coordination.peer.LoanGrant
import lacewingweir.coordination.peer.LoanRefusal
import lacewingweir.coordination.peer.LoanRequest
import lacewingweir.coordination.peer.LoanReturn
import lacewingweir.coordination.peer.PeerAddresses
import lacewingweir.coordination.peer.PeerMessage
import lacewingweir.coordination.peer.StateRequest

/**
 * Encodes and decodes [PeerMessage]s as CBOR.
 *
 * A frame is an envelope of protocol version, type name and opaque body. Unknown fields are ignored and unknown types
 * are distinguished from malformed input, so that instances of different releases can communicate during a rollout.
 */
public object PeerCodec {
    /** The version of the envelope and of the semantics of the messages. */
    public const val PROTOCOL_VERSION: Int = 1

    /** The maximum length of a frame without its length prefix. */
    public const val MAX_FRAME_BYTES: Int = 1 shl 20

    internal val cbor: Cbor =
        Cbor {
            ignoreUnknownKeys = true
            useDefiniteLengthEncoding = true
        }

    private val serializers: Map<String, KSerializer<out PeerMessage>> =
        listOf(
            Heartbeat.serializer(),
            HeartbeatAck.serializer(),
            LoanRequest.serializer(),
            LoanGrant.serializer(),
            LoanRefusal.serializer(),
            LoanReturn.serializer(),
            BundleOffer.serializer(),
            KeyChanges.serializer(),
            KeyConfirmation.serializer(),
            EpochOffer.serializer(),
            PeerAddresses.serializer(),
            StateRequest.serializer(),
        ).associateBy { it.descriptor.serialName }

    /** Returns the wire name of the type of [message]. */
    public fun typeOf(message: PeerMessage): String = serializerOf(message).descriptor.serialName

    /** Encodes [message]. Returns `null` if the frame exceeds [MAX_FRAME_BYTES]. */
    public fun encode(message: PeerMessage): EncodedPeerMessage? {
        val serializer = serializerOf(message)
        val type = serializer.descriptor.serialName
        val body = cbor.encodeToByteArray(serializer, message)
        val frame =
            cbor.encodeToByteArray(PeerEnvelope.serializer(), PeerEnvelope(PROTOCOL_VERSION, type, body))
        return if (frame.size > MAX_FRAME_BYTES) null else EncodedPeerMessage(type, frame)
    }

    /** Decodes a frame. Does not throw for malformed input. */
    public fun decode(frame: ByteArray): PeerDecodeResult {
        if (frame.size > MAX_FRAME_BYTES) return PeerDecodeResult.TooLarge(frame.size)
        return try {
            val envelope = decodeChecked(PeerEnvelope.serializer(), frame)
            decodeBody(envelope)
        } catch (e: SerializationException) {
            PeerDecodeResult.Malformed(e.message ?: "invalid CBOR")
        } catch (e: IllegalArgumentException) {
            PeerDecodeResult.Malformed(e.message ?: "invalid value")
        } catch (e: IndexOutOfBoundsException) {
            PeerDecodeResult.Malformed(e.message ?: "truncated CBOR")
        } catch (e: IllegalStateException) {
            PeerDecodeResult.Malformed(e.message ?: "invalid CBOR")
        }
    }

    /**
     * Decodes [bytes] after checking that the declared lengths fit into it. The check is needed because the library
     * allocates memory for the declared size of a collection before it reads the elements.
     *
     * @throws SerializationException if the input is malformed
     */
    internal fun <T> decodeChecked(
        serializer: KSerializer<T>,
        bytes: ByteArray,
    ): T {
        val error = CborValidator.findError(bytes)
        if (error != null) throw SerializationException(error)
        return cbor.decodeFromByteArray(serializer, bytes)
    }

    private fun decodeBody(envelope: PeerEnvelope): PeerDecodeResult {
        if (envelope.version != PROTOCOL_VERSION) return PeerDecodeResult.UnsupportedVersion(envelope.version)
        val serializer = serializers[envelope.type] ?: return PeerDecodeResult.UnknownType(envelope.type)
        return PeerDecodeResult.Decoded(envelope.type, decodeChecked(serializer, envelope.body))
    }

    private fun serializerOf(message: PeerMessage): KSerializer<PeerMessage> {
        val serializer =
            when (message) {
                is Heartbeat -> Heartbeat.serializer()
                is HeartbeatAck -> HeartbeatAck.serializer()
                is LoanRequest -> LoanRequest.serializer()
                is LoanGrant -> LoanGrant.serializer()
                is LoanRefusal -> LoanRefusal.serializer()
                is LoanReturn -> LoanReturn.serializer()
                is BundleOffer -> BundleOffer.serializer()
                is KeyChanges -> KeyChanges.serializer()
                is KeyConfirmation -> KeyConfirmation.serializer()
                is EpochOffer -> EpochOffer.serializer()
                is PeerAddresses -> PeerAddresses.serializer()
                StateRequest -> StateRequest.serializer()
            }
        @Suppress("UNCHECKED_CAST")
        return serializer as KSerializer<PeerMessage>
    }
}
