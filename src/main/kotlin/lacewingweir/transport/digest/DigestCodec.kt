package lacewingweir.transport.digest

import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import lacewingweir.coordination.gossip.PeerDatagram

/** Encodes datagrams between instances as CBOR, with numbers as field names. */
internal object DigestCodec {
    private val cbor =
        Cbor {
            ignoreUnknownKeys = true
            useDefiniteLengthEncoding = true
            preferCborLabelsOverNames = true
        }

    fun encode(datagram: PeerDatagram): ByteArray = cbor.encodeToByteArray(PeerDatagram.serializer(), datagram)

    /** @throws SerializationException if [bytes] are not a datagram of an instance */
    fun decode(bytes: ByteArray): PeerDatagram = cbor.decodeFromByteArray(PeerDatagram.serializer(), bytes)
}
