package lacewingweir.coordination.gossip

import kotlinx.serialization.Serializable

/** What one instance has at one endpoint: requests in progress and prompt tokens that wait for their prefill. */
@Serializable
internal data class EndpointLoad(
    val endpoint: String,
    val running: Int,
    val backlogTokens: Long,
    val memoryTokens: Long,
)

/** Weights that an engine was seen with. While [loading] it takes no new requests. */
@Serializable
internal data class EngineWeights(
    val endpoint: String,
    val startedAtUnixMillis: Long,
    val weights: Long,
    val loading: Boolean,
)

/** A beginning of a prompt that an engine has read: its chain hash and the tokens of its last part. */
@Serializable
internal data class PrefixRead(
    val endpoint: String,
    val hash: Long,
    val tokens: Int,
)

/**
 * State that an instance repeats to its peers. All of it is absolute, so lost and repeated datagrams do no harm.
 *
 * [run] tells restarts apart, [number] orders the digests of one run. [admitted] holds the tokens admitted for each
 * customer since the start of the run. [reads] repeats the reads of the last while, so that a lost datagram hides
 * none. [windows] holds the tokens of the whole fleet in each customer's window; a peer that has just started takes
 * them over from an instance that is [settled], that is, has run for a whole window.
 */
@Serializable
internal data class InstanceDigest(
    val instance: String,
    val run: Long,
    val number: Long,
    val admitted: Map<String, Long>,
    val loads: List<EndpointLoad>,
    val weights: List<EngineWeights>,
    val reads: List<PrefixRead> = emptyList(),
    val windows: Map<String, Double> = emptyMap(),
    val settled: Boolean = false,
)

/** Sends digests to peers and hands received ones on; unreliable by design. */
internal interface DigestNetwork {
    /** Sends [digest] to each of [targets], given as host and port. */
    suspend fun send(
        digest: InstanceDigest,
        targets: List<Pair<String, Int>>,
    )
}
