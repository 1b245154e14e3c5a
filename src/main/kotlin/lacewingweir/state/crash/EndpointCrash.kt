package lacewingweir.state.crash

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import lacewingweir.state.id.EndpointTag
import lacewingweir.state.id.SuspectId

/**
 * A prompt part or a request that may have crashed an endpoint.
 *
 * @property position the index of a part in its prompt; a request comes after all parts
 * @property answered whether calls with it were answered before
 * @property waiting whether the endpoint may not have begun to run the call
 * @property onTrial whether the call was sent to try out a request that was suspected already
 */
@Serializable
internal data class Suspect(
    @CborLabel(1) val id: SuspectId,
    @CborLabel(2) val position: Int,
    @CborLabel(3) val answered: Boolean = false,
    @CborLabel(4) val waiting: Boolean = false,
    @CborLabel(5) val onTrial: Boolean = false,
) {
    /** Combines what two reports of the same crash say. */
    fun merge(other: Suspect): Suspect =
        copy(
            answered = answered || other.answered,
            waiting = waiting && other.waiting,
            onTrial = onTrial || other.onTrial,
        )
}

/** The end of one run of an endpoint, with what it was beginning to answer or run. */
@Serializable
internal data class EndpointCrash(
    @CborLabel(1) val endpoint: EndpointTag,
    @CborLabel(2) val suspects: List<Suspect>,
) {
    /** Adds the suspects of another report of the same crash, up to [limit], running ones first. */
    fun merge(
        other: EndpointCrash,
        limit: Int,
    ): EndpointCrash {
        val byId = LinkedHashMap<SuspectId, Suspect>()
        for (suspect in suspects + other.suspects) byId.merge(suspect.id, suspect, Suspect::merge)
        return copy(suspects = byId.values.sortedBy { it.waiting }.take(limit))
    }
}
