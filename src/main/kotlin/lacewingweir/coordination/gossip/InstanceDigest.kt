/** Messages that instances send to each other without guarantee of delivery. */
package lacewingweir.coordination.gossip

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import lacewingweir.state.crash.EndpointCrash
import lacewingweir.state.fleet.TargetAge
import lacewingweir.state.id.EndpointTag
import lacewingweir.state.id.SuspectId

/**
 * The load that one instance has on one endpoint: running requests, prompt tokens that wait for prefill, and tokens in
 * KV cache memory.
 */
@Serializable
internal data class EndpointLoad(
    @CborLabel(1) val endpoint: EndpointTag,
    @CborLabel(2) val running: Int,
    @CborLabel(3) val backlogTokens: Long,
    @CborLabel(4) val memoryTokens: Long,
)

/**
 * The requests per second that an endpoint accepts from all instances together, as it stated [ageMillis] ago, or [NONE]
 * if it stated that there is no limit any more.
 */
@Serializable
internal data class EndpointLimit(
    @CborLabel(1) val endpoint: EndpointTag,
    @CborLabel(2) val perSecond: Double,
    @CborLabel(3) val ageMillis: Long,
) {
    companion object {
        const val NONE: Double = -1.0
    }
}

/** The weights of an engine as its reporter knows them. While the engine is [loading], it accepts no new requests. */
@Serializable
internal data class EngineWeights(
    @CborLabel(1) val endpoint: EndpointTag,
    @CborLabel(2) val weights: Long,
    @CborLabel(3) val loading: Boolean = false,
)

/** A prompt prefix that an engine has prefilled: the hash of the prefix and the number of tokens of its last part. */
@Serializable
internal data class PrefilledPrefix(
    @CborLabel(1) val endpoint: EndpointTag,
    @CborLabel(2) val hash: Long,
    @CborLabel(3) val tokens: Int,
)

/**
 * Answers that an instance has got since an order, as totals, from the [target] version of a rollout or from the old
 * ones. The rollout is identified by its tag and the route by the hash of its id. [unclear] calls got no answer for a
 * reason that need not lie with the version.
 */
@Serializable
internal data class VersionTally(
    @CborLabel(1) val rollout: Int,
    @CborLabel(2) val route: Int,
    @CborLabel(3) val target: Boolean,
    @CborLabel(4) val answers: Long,
    @CborLabel(5) val bad: Long,
    @CborLabel(6) val latencyMillis: Long,
    @CborLabel(7) val unclear: Long = 0,
)

/**
 * The state that an instance sends to its peers periodically. All but [prefills] and [speeds] are totals instead of
 * changes, so lost and duplicated datagrams do no harm; a lost prefill costs at most a prefix that is read again, and
 * a lost sample of a speed only delays an estimate.
 *
 * @property run identifies the run of the instance; a later run normally has a higher number
 * @property number orders the digests of one run
 * @property intervalMillis the time until the next digest, in milliseconds
 * @property admittedTokens tokens admitted for each customer since the start of the run
 * @property weights engines that the instance is loading, or whose weights it has learned recently from themselves
 * @property prefills prefixes that engines have prefilled since the previous digest
 * @property windowTotals tokens admitted by the whole fleet within each customer's rate window, for peers that have
 *   just started; null in most digests, and if the instance has not run for a whole window
 * @property limits limits of requests that are in force or have ended recently
 * @property crashNews what the instance has recently learned of calls that crash endpoints, in case the
 *   datagram that reported it at once was lost; null if there is nothing
 * @property leaving endpoints that have recently said in a response that they leave
 * @property targets ages of recent target weights that the instance has observed
 * @property versions answers since the orders of the rollouts of software versions that run
 * @property unreachable services whose endpoints the instance doesn't reach, or doesn't send calls of others to
 * @property speeds samples of the speeds of endpoints since the previous digest
 * @property transfers the runs that the instance is handing over, in case the datagram that reported them was lost
 * @property demands recent demand for each customer in tokens per second, including refused requests
 */
@Serializable
internal data class InstanceDigest(
    @CborLabel(1) val instance: String,
    @CborLabel(2) val run: Long,
    @CborLabel(3) val number: Long,
    @CborLabel(4) val intervalMillis: Long,
    @CborLabel(5) val admittedTokens: Map<String, Long>,
    @CborLabel(6) val loads: List<EndpointLoad>,
    @CborLabel(7) val weights: List<EngineWeights>,
    @CborLabel(8) val prefills: List<PrefilledPrefix> = emptyList(),
    @CborLabel(9) val windowTotals: Map<String, Long>? = null,
    @CborLabel(10) val crashNews: CrashNews? = null,
    @CborLabel(11) val limits: List<EndpointLimit> = emptyList(),
    @CborLabel(12) val targets: List<TargetAge> = emptyList(),
    @CborLabel(13) val leaving: List<EndpointTag> = emptyList(),
    @CborLabel(14) val unreachable: List<String> = emptyList(),
    @CborLabel(16) val versions: List<VersionTally> = emptyList(),
    @CborLabel(17) val speeds: List<SpeedSample> = emptyList(),
    @CborLabel(15) val demands: Map<String, Long> = emptyMap(),
    @CborLabel(18) val transfers: TransferReport? = null,
) {
    /** How long the digest describes its instance if no later one arrives. */
    val validityMillis: Long
        get() = maxOf(MIN_VALIDITY_MILLIS, intervalMillis * VALIDITY_INTERVALS)

    companion object {
        const val MIN_VALIDITY_MILLIS: Long = 1_000

        /** An instance counts as silent only after several lost datagrams in a row. */
        private const val VALIDITY_INTERVALS: Int = 4
    }
}

/** Engines whose loading of weights has just begun or ended, sent between two digests of [instance]. */
@Serializable
internal data class EngineReport(
    @CborLabel(1) val instance: String,
    @CborLabel(2) val weights: List<EngineWeights>,
    @CborLabel(3) val validityMillis: Long,
)

/**
 * What [instance] has learned of prompt parts and requests that crash endpoints. Repeated and reordered news do no
 * harm, except that an old claim may delay a trial.
 *
 * @property crashes crashes that the instance has observed
 * @property answered suspects that were answered after all
 * @property blocked what the instance blocks and is not in the store yet
 * @property claimsTrial whether the instance claims the turn to try out a suspected request
 */
@Serializable
internal data class CrashNews(
    @CborLabel(1) val crashes: List<EndpointCrash> = emptyList(),
    @CborLabel(2) val answered: List<SuspectId> = emptyList(),
    @CborLabel(3) val blocked: List<SuspectId> = emptyList(),
    @CborLabel(4) val instance: String,
    @CborLabel(5) val claimsTrial: Boolean = false,
)

/**
 * The [engines] from and to which [instance] is handing runs over. Of two reports of an instance, the one with the
 * higher [number] is later.
 */
@Serializable
internal data class TransferReport(
    @CborLabel(1) val instance: String,
    @CborLabel(2) val number: Long,
    @CborLabel(3) val engines: List<EndpointTag>,
)

/** A datagram between instances. It contains one of its properties. */
@Serializable
internal data class PeerDatagram(
    @CborLabel(1) val digest: InstanceDigest? = null,
    @CborLabel(2) val engineReport: EngineReport? = null,
    @CborLabel(3) val crashNews: CrashNews? = null,
    @CborLabel(4) val streamMessage: StreamMessage? = null,
    @CborLabel(5) val transferReport: TransferReport? = null,
)

/** Sends datagrams to peers without guarantee of delivery. */
internal interface DigestNetwork {
    /**
     * Sends [datagram] to each of [targets], which are pairs of host and port. Returns the bytes that it takes up on
     * the link for one target.
     */
    suspend fun send(
        datagram: PeerDatagram,
        targets: List<Pair<String, Int>>,
    ): Int
}
