/** Messages by which instances tell each other where streams began. */
package lacewingweir.coordination.gossip

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import lacewingweir.state.id.RequestId
import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.SoftwareVersion

/**
 * The stream begun by [call] began at an endpoint of [service] with the version [software].
 *
 * It is [inferred] if the instance doesn't know the stream, but has proved, after it was asked, that the service has
 * had one version only.
 */
@Serializable
internal data class StreamFact(
    @CborLabel(1) val call: RequestId,
    @CborLabel(2) val service: ServiceName,
    @CborLabel(3) val software: SoftwareVersion?,
    @CborLabel(4) val inferred: Boolean = false,
)

/** Asks where the stream begun by [call] began, which the caller takes up on a route to [service]. */
@Serializable
internal data class StreamQuestion(
    @CborLabel(1) val call: RequestId,
    @CborLabel(2) val service: ServiceName,
)

/**
 * What [instance] tells of streams.
 *
 * @property facts where streams began, for the receiver to remember or as the answer to a question
 * @property question a question that the receiver answers
 * @property unknown the call of a question that the instance can't answer
 * @property toStore whether the receiver also writes the facts to the store
 * @property severalVersions whether it can't answer because the service has or lately had several versions
 */
@Serializable
internal data class StreamMessage(
    @CborLabel(1) val instance: String,
    @CborLabel(2) val facts: List<StreamFact> = emptyList(),
    @CborLabel(3) val question: StreamQuestion? = null,
    @CborLabel(4) val unknown: RequestId? = null,
    @CborLabel(5) val severalVersions: Boolean = false,
    @CborLabel(6) val toStore: Boolean = false,
)
