/** Adoption of signed bundles from the store and from peers. */
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
 * Holds the bundle in force and spreads it.
 *
 * A bundle is adopted only if its number is higher than that in force, its signature is one of [trustedSigners] (name
 * to Ed25519 public key) and its payload passes [check]; so the bundle in force never reverts. What is refused is
 * remembered with the reason. A store that holds an older bundle than this instance, for example after it was restored
 * from a copy, gets the newer one back by compare-and-set.
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
            .help("Bundles that were offered and refused.")
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
    private val nextPeer = AtomicInteger()

    @Volatile
    private var inForce: InForce? = null

    /** Number of the bundle that the store showed last; zero until it showed one, [NOT_OURS] if it was refused. */
    @Volatile
    private var storeNumber = BundleNumber.NONE

    /** Successful polls in a row after which the store still held an older bundle. */
    @Volatile
    private var pollsBehind = 0

    override fun current(): Bundle? = inForce?.bundle

    /** The signed form of the bundle in force. */
    public fun currentSigned(): SignedBundle? = inForce?.signed

    /** The number of the bundle in force; [BundleNumber.NONE] if there is none. */
    public val number: BundleNumber
        get() = inForce?.bundle?.number ?: BundleNumber.NONE

    /** The bundles refused last, oldest first. */
    public fun refused(): List<RefusedBundle> = synchronized(refused) { refused.toList() }

    /** Calls [handler] for each bundle adopted from now on, in ascending order of their numbers. */
    public fun onAdopted(handler: (Bundle) -> Unit) {
        adoptionHandlers.add(handler)
    }

    /** Takes part in the exchange with peers, and asks them for the state while no bundle is known. */
    public fun start() {
        network.subscribe { from, message ->
            when (message) {
                is BundleOffer -> offered(from.name.value, message.bundle)
                is StateRequest -> currentSigned()?.let { network.send(from.name, BundleOffer(it)) }
                else -> Unit
            }
        }
        timers.every("bundle request", REQUEST_PERIOD_MILLIS) { if (inForce == null) requestState() }
        timers.every("bundle write-back", WRITE_BACK_PERIOD_MILLIS, WRITE_BACK_JITTER) { writeBack() }
    }

    /** Takes an entry of the store; those of other keys are passed over. */
    public fun onStoreEntry(entry: StoreEntry) {
        if (entry.key != STORE_KEY) return
        val signed = SignedBundleCodec.decode(entry.value)
        if (signed == null) {
            refuse(RefusedBundle(BundleNumber.NONE, "", SOURCE_STORE, "not a signed bundle"))
            storeNumber = NOT_OURS
            return
        }
        storeNumber = offered(SOURCE_STORE, signed) ?: NOT_OURS
    }

    /** To be called after each successful poll of the store, when its entries were handed over. */
    public fun onStorePolled() {
        pollsBehind = if (inForce != null && storeNumber < number) pollsBehind + 1 else 0
    }

    /** To be called when the store was restored from an older copy, before its entries are handed over. */
    public fun onStoreRegressed() {
        storeNumber = BundleNumber.NONE
    }

    /** To be called when a peer's heartbeat shows the [number] of its bundle. Offers the peer a newer one. */
    public fun onPeerHeartbeat(
        name: InstanceName,
        number: BundleNumber,
    ) {
        val held = inForce ?: return
        if (held.bundle.number > number) network.send(name, BundleOffer(held.signed))
    }

    /** Adopts or refuses [signed]. Returns its number if signature and payload are valid, else null. */
    private fun offered(
        source: String,
        signed: SignedBundle,
    ): BundleNumber? {
        val held = inForce
        if (held != null && held.signed == signed) return held.bundle.number
        val key = trustedSigners[signed.signer]
        val checked =
            when {
                key == null -> BundleCheckResult.Refused(listOf("signer ${signed.signer} is not trusted"))
                !Ed25519.verify(signed.payload, signed.signature, key) ->
                    BundleCheckResult.Refused(listOf("signature of ${signed.signer} does not match"))
                else -> check(signed.payload)
            }
        return when (checked) {
            is BundleCheckResult.Accepted -> {
                adopt(source, signed, checked.bundle)
                checked.bundle.number
            }
            is BundleCheckResult.Refused -> {
                val reason = checked.reasons.joinToString("; ").take(MAX_REASON_CHARS)
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
            val held = inForce
            if (held != null && bundle.number <= held.bundle.number) {
                val sameContent = bundle.number == held.bundle.number && signed.payload == held.signed.payload
                if (!sameContent) {
                    val reason = "number ${bundle.number} is not higher than ${held.bundle.number} in force"
                    refuse(RefusedBundle(bundle.number, signed.operationId, source, reason))
                }
                return
            }
            inForce = InForce(bundle, signed)
            pollsBehind = 0
            numberGauge.set(bundle.number.value.toDouble())
            logger.info { "bundle: number ${bundle.number} is in force, received from $source" }
            adoptionHandlers.forEach { it(bundle) }
        }
        for (peer in network.connectedPeers().shuffled().take(FORWARD_PEERS)) {
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
        network.send(peers[nextPeer.getAndIncrement().mod(peers.size)].name, StateRequest)
    }

    /** Writes the bundle in force to a store that held an older one over several polls. */
    private suspend fun writeBack() {
        val held = inForce ?: return
        if (pollsBehind < POLLS_BEFORE_WRITE_BACK) return
        val entry = (store.get(STORE_KEY) as? StoreResult.Ok ?: return).value
        val inStore = entry?.let { SignedBundleCodec.decode(it.value) }
        val stored = inStore?.let { offered(SOURCE_STORE, it) }
        if (entry != null && (stored == null || stored >= held.bundle.number)) {
            storeNumber = stored ?: NOT_OURS
            return
        }
        val written = store.compareAndSet(STORE_KEY, entry?.modRevision ?: 0, SignedBundleCodec.encode(held.signed))
        if (written == StoreResult.Ok(true)) {
            writeBacks.inc()
            logger.warn {
                "bundle: wrote number ${held.bundle.number} back to the store, which held ${stored ?: "none"}"
            }
        }
    }

    public companion object {
        /** Key of the signed bundle in the store. */
        public const val STORE_KEY: String = "/lw/bundle"

        /**
         * Stands for a bundle in the store that this instance can't accept. It is left in place: a signer that only
         * this instance's settings lack may have published it.
         */
        private val NOT_OURS: BundleNumber = BundleNumber(Long.MAX_VALUE)

        private const val SOURCE_STORE: String = "store"
        private const val REQUEST_PERIOD_MILLIS: Long = 300
        private const val WRITE_BACK_PERIOD_MILLIS: Long = 1_000

        /** Spreads the write-back over the fleet, so that the first writer spares most others theirs. */
        private const val WRITE_BACK_JITTER: Double = 0.5

        /** One poll may have been sent before a publication that a peer already passed on. */
        private const val POLLS_BEFORE_WRITE_BACK: Int = 2

        /** Peers that get an adopted bundle at once. The others see its number in heartbeats. */
        private const val FORWARD_PEERS: Int = 3
        private const val MAX_REFUSED: Int = 16
        private const val MAX_REASON_CHARS: Int = 500
    }
}
