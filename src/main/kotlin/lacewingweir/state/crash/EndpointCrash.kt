package lacewingweir.state.crash

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import lacewingweir.state.id.EndpointTag
import lacewingweir.state.id.PartId

/**
 * A part that may have crashed an endpoint.
 *
 * [position] is its index in the prompt. [answered] tells whether prompts with the part were answered before.
 */
@Serializable
internal data class SuspectPart(
    @CborLabel(1) val part: PartId,
    @CborLabel(2) val position: Int,
    @CborLabel(3) val answered: Boolean = false,
)

/** The end of one run of an endpoint, with the shared parts of the prompts whose answers it was beginning. */
@Serializable
internal data class EndpointCrash(
    @CborLabel(1) val endpoint: EndpointTag,
    @CborLabel(2) val suspects: List<SuspectPart>,
)
