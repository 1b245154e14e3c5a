/** Adoption and distribution of signed bundles. */
package lacewingweir.coordination.bundle

import io.github.oshai.kotlinlogging.KotlinLogging
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry
import lacewingweir.coordination.peer.BundleOffer
import lacewingweir.coordination.peer.PeerNetwork
import lacewingweir.coordination.peer.StateRequest
import lacewingweir.coordination.store.ConfigStore
import lacewingweir.coordination.store.StoreEntry
import lacewingweir.coordination.store.StoreResult
import lacewingweir.coordination.time.TimerService
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.Ed25519
import lacewingweir.state.bundle.SignedBundle
import lacewingweir.state.bundle.SignedBundleCodec
import lacewingweir.state.id.BundleNumber
import lacewingweir.state.id.InstanceName
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger

private val logger = KotlinLogging.logger {}

/**
 * Holds the bundle in force and distributes it to peers and the store.
 *
 * A bundle is adopted only if its signature verifies with the key of its signer in [trustedSigners] (signer name to
 * Ed25519 public key), its payload passes [check] and its number is higher than that of the bundle in force. The bundle
 * in force therefore never reverts to an older one. The last refused bundles are kept with the reason. If the store
 * holds an older bundle than this instance, for example after a restore from a copy, the newer bundle is written back
 * by compare-and-set.
 */
public class BundleAgent(
    private val store: ConfigStore,
    private val network: PeerNetwork,
    private val timers: TimerService,
    private val trustedSigners: Map<String, String>,
    private val check: (payload: String) -> BundleCheckResult,
    registry: PrometheusRegistry = PrometheusRegistry.defaultRegistry,
) : BundleSource {
    private class InForce(
        val bundle: Bundle,
        val signed: SignedBundle,
    )

    private val numberGauge =
        Gauge
            .builder()
            .name("bundle_number")
            .help("Number of the bundle in force.")
            .register(registry)
    private val refusals =
        Counter
            .builder()
            .name("bundles_refused")
            .help("Bundles received and refused.")
            .register(registry)
    private val writeBacks =
        Counter
            .builder()
            .name("bundle_write_backs")
            .help("Bundles written back to the store.")
            .register(registry)

    private val adoptionHandlers = CopyOnWriteArrayList<(Bundle) -> Unit>()
    private val refused = LinkedHashSet<RefusedBundle>()
    private val adoptionLock = Any()
    private val nextRequestPeer = AtomicInteger()

    @Volatile
    private var inForce: InForce? = null

    /**
     * Number of the bundle last read from the store: [BundleNumber.NONE] if none was read yet, [REFUSED_STORE_BUNDLE]
     * if that bundle is invalid.
     */
    @Volatile
    private var storeNumber = BundleNumber.NONE

    /** Number of consecutive successful polls that found an older bundle in the store than the one in force. */
    @Volatile
    private var outdatedPolls = 0

    override fun current(): Bundle? = inForce?.bundle

    /** The signed form of the bundle in force, or null if there is none. */
    public fun currentSigned(): SignedBundle? = inForce?.signed

    /** The number of the bundle in force; [BundleNumber.NONE] if there is none. */
    public val number: BundleNumber
        get() = inForce?.bundle?.number ?: BundleNumber.NONE

    /** Returns the last refused bundles without duplicates, at most [MAX_REFUSED], oldest first. */
    public fun refused(): List<RefusedBundle> = synchronized(refused) { refused.toList() }

    /** Registers [handler] to be called for each bundle adopted from now on, in ascending order of bundle numbers. */
    public fun onAdopted(handler: (Bundle) -> Unit) {
        adoptionHandlers.add(handler)
    }

    /**
     * Subscribes to peer messages and starts the write-back to the store. While no bundle is known, peers are asked for
     * theirs periodically.
     */
    public fun start() {
        network.subscribe { from, message ->
            when (message) {
                is BundleOffer -> adoptOrRefuse(from.name.value, message.bundle)
                is StateRequest -> currentSigned()?.let { network.send(from.name, BundleOffer(it)) }
                else -> Unit
            }
        }
        timers.every("bundle request", REQUEST_PERIOD_MILLIS) { if (inForce == null) requestState() }
        timers.every("bundle write-back", WRITE_BACK_PERIOD_MILLIS, WRITE_BACK_JITTER) { writeBack() }
    }

    /** Processes the store's bundle. Ignores entries with other keys. */
    public fun onStoreEntry(entry: StoreEntry) {
        if (entry.key != STORE_KEY) return
        val signed = SignedBundleCodec.decode(entry.value)
        if (signed == null) {
            refuse(RefusedBundle(BundleNumber.NONE, "", SOURCE_STORE, "not a signed bundle"))
            storeNumber = REFUSED_STORE_BUNDLE
            return
        }
        storeNumber = adoptOrRefuse(SOURCE_STORE, signed) ?: REFUSED_STORE_BUNDLE
    }

    /** Must be called after each successful poll of the store, once its entries have been passed to [onStoreEntry]. */
    public fun onStorePolled() {
        outdatedPolls = if (inForce != null && storeNumber < number) outdatedPolls + 1 else 0
    }

    /** Must be called after the store was restored from an older copy, before [onStoreEntry] gets its entries. */
    public fun onStoreRegressed() {
        storeNumber = BundleNumber.NONE
    }

    /** Must be called when a heartbeat of peer [name] reports its bundle [number]. Sends the peer a newer bundle. */
    public fun onPeerHeartbeat(
        name: InstanceName,
        number: BundleNumber,
    ) {
        val current = inForce ?: return
        if (current.bundle.number > number) network.send(name, BundleOffer(current.signed))
    }

    /** Adopts or refuses [signed]. Returns its number if its signature and payload are valid, or null otherwise. */
    private fun adoptOrRefuse(
        source: String,
        signed: SignedBundle,
    ): BundleNumber? {
        val current = inForce
        if (current != null && current.signed == signed) return current.bundle.number
        val key = trustedSigners[signed.signer]
        val result =
            when {
                key == null -> BundleCheckResult.Refused(listOf("signer ${signed.signer} is not trusted"))
                !Ed25519.verify(signed.payload, signed.signature, key) ->
                    BundleCheckResult.Refused(listOf("signature of ${signed.signer} does not match"))
                else -> check(signed.payload)
            }
        return when (result) {
            is BundleCheckResult.Accepted -> {
                adopt(source, signed, result.bundle)
                result.bundle.number
            }
            is BundleCheckResult.Refused -> {
                val reason = result.reasons.joinToString("; ").take(MAX_REASON_CHARS)
                refuse(RefusedBundle(BundleNumber.NONE, signed.operationId, source, reason))
                null
            }
        }
    }

    private fun adopt(
        source: String,
        signed: SignedBundle,
        bundle: Bundle,
    ) {
        synchronized(adoptionLock) {
            val current = inForce
            if (current != null && bundle.number <= current.bundle.number) {
                val sameContent = bundle.number == current.bundle.number && signed.payload == current.signed.payload
                if (!sameContent) {
                    val reason = "number ${bundle.number} is not higher than ${current.bundle.number} in force"
                    refuse(RefusedBundle(bundle.number, signed.operationId, source, reason))
                }
                return
            }
            inForce = InForce(bundle, signed)
            outdatedPolls = 0
            numberGauge.set(bundle.number.value.toDouble())
            logger.info { "bundle: number ${bundle.number} is in force, received from $source" }
            adoptionHandlers.forEach { it(bundle) }
        }
        for (peer in network.connectedPeers().shuffled().take(FORWARD_PEER_COUNT)) {
            if (peer.name.value != source) network.send(peer.name, BundleOffer(signed))
        }
    }

    private fun refuse(bundle: RefusedBundle) {
        synchronized(refused) {
            if (!refused.add(bundle)) return
            if (refused.size > MAX_REFUSED) refused.remove(refused.first())
        }
        refusals.inc()
        logger.warn { "bundle: refused ${bundle.operationId} from ${bundle.source}: ${bundle.reason}" }
    }

    private fun requestState() {
        val peers = network.connectedPeers()
        if (peers.isEmpty()) return
        network.send(peers[nextRequestPeer.getAndIncrement().mod(peers.size)].name, StateRequest)
    }

    /** Writes the bundle in force to the store if [POLLS_BEFORE_WRITE_BACK] polls in a row found an older one there. */
    private suspend fun writeBack() {
        val current = inForce ?: return
        if (outdatedPolls < POLLS_BEFORE_WRITE_BACK) return
        val entry = (store.get(STORE_KEY) as? StoreResult.Ok ?: return).value
        val signedInStore = entry?.let { SignedBundleCodec.decode(it.value) }
        val numberInStore = signedInStore?.let { adoptOrRefuse(SOURCE_STORE, it) }
        if (entry != null && (numberInStore == null || numberInStore >= current.bundle.number)) {
            storeNumber = numberInStore ?: REFUSED_STORE_BUNDLE
            return
        }
        val written = store.compareAndSet(STORE_KEY, entry?.modRevision ?: 0, SignedBundleCodec.encode(current.signed))
        if (written == StoreResult.Ok(true)) {
            writeBacks.inc()
            logger.warn {
                "bundle: wrote number ${current.bundle.number} back to the store, which held ${numberInStore ?: "none"}"
            }
        }
    }

    public companion object {
        /** Key of the signed bundle in the store. */
        public const val STORE_KEY: String = "/lw/bundle"

        /**
         * Marks a bundle in the store that this instance refuses. It is higher than every other number, so that the
         * bundle is not overwritten: its signer may be missing from the settings of this instance only.
         */
        private val REFUSED_STORE_BUNDLE: BundleNumber = BundleNumber(Long.MAX_VALUE)

        private const val SOURCE_STORE: String = "store"
        private const val REQUEST_PERIOD_MILLIS: Long = 300
        private const val WRITE_BACK_PERIOD_MILLIS: Long = 1_000

        /** Spreads write-backs over time, so that most instances find the first one already done and skip theirs. */
        private const val WRITE_BACK_JITTER: Double = 0.5

        /** A single poll may have been sent before a publication that has already arrived through a peer. */
        private const val POLLS_BEFORE_WRITE_BACK: Int = 2

        /** Number of peers that receive an adopted bundle immediately. Heartbeats announce its number to the others. */
        private const val FORWARD_PEER_COUNT: Int = 3
        private const val MAX_REFUSED: Int = 16
        private const val MAX_REASON_CHARS: Int = 500
    }
}
