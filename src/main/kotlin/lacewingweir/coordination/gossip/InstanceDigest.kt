package lacewingweir.coordination.gossip

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The load that one instance has on one endpoint: running requests, prompt tokens that wait for prefill, and tokens in
 * KV cache memory.
 */
@Serializable
internal data class EndpointLoad(
    val endpoint: String,
    val running: Int,
    val backlogTokens: Long,
    val memoryTokens: Long,
)

/**
 * The weight version that an instance observed on the engine of [endpoint] that started at [startedAtUnixMillis]. While
 * the engine is [loading] weights, it accepts no new requests.
 */
@Serializable
internal data class EngineWeights(
    val endpoint: String,
    val startedAtUnixMillis: Long,
    val weights: Long,
    val loading: Boolean,
)

/** A prompt prefix that an engine has prefilled: the hash of the prefix and the number of tokens of its last part. */
@Serializable
internal data class PrefilledPrefix(
    val endpoint: String,
    val hash: Long,
    val tokens: Int,
)

/**
 * The state that an instance sends to its peers periodically. It contains totals instead of changes, so lost and
 * duplicated datagrams do no harm.
 *
 * @property run identifies the run of the instance; a later run normally has a higher number
 * @property number orders the digests of one run
 * @property admittedTokens tokens admitted for each customer since the start of the run
 * @property recentPrefills prefixes that engines prefilled recently; each is repeated in several digests, so that none
 * is missed if one datagram is lost
 * @property windowTotals tokens admitted by the whole fleet within each customer's rate window
 * @property hasFullWindow whether the instance has run for a whole rate window; a peer that has just started adopts
 * [windowTotals] only from such an instance
 */
@Serializable
internal data class InstanceDigest(
    val instance: String,
    val run: Long,
    val number: Long,
    @SerialName("admitted")
    val admittedTokens: Map<String, Long>,
    val loads: List<EndpointLoad>,
    val weights: List<EngineWeights>,
    @SerialName("reads")
    val recentPrefills: List<PrefilledPrefix> = emptyList(),
    @SerialName("windows")
    val windowTotals: Map<String, Double> = emptyMap(),
    @SerialName("settled")
    val hasFullWindow: Boolean = false,
)

/** Sends digests to peers without guarantee of delivery. */
internal interface DigestNetwork {
    /** Sends [digest] to each of [targets], which are pairs of host and port. */
    suspend fun send(
        digest: InstanceDigest,
        targets: List<Pair<String, Int>>,
    )
}
