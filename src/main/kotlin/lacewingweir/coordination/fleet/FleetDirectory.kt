/**
 * Maintains the fleet's configuration, target weights, endpoints and peers from the items of the store.
 *
 * Within one run of the process, a configuration is replaced only by one with a higher number. Unreadable items are
 * ignored, except that an endpoint with an unreadable item is removed. Endpoints whose leases expired during an outage
 * of the store are kept for a short time after it, since running endpoints write their items again.
 */
package lacewingweir.coordination.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import lacewingweir.coordination.store.StoreChange
import lacewingweir.coordination.time.TimerService
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.fleet.FleetConfig
import lacewingweir.state.fleet.PeerEntry
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.ModelName
import lacewingweir.state.time.ClockReading
import lacewingweir.state.time.SuspendAwareClock
import java.util.concurrent.atomic.AtomicReference

private val logger = KotlinLogging.logger {}

internal class FleetDirectory(
    private val decode: FleetUpdateDecoder,
    private val clock: SuspendAwareClock,
    private val timers: TimerService,
) : MirrorListener {
    private val current =
        AtomicReference(
            FleetSnapshot(null, emptyMap(), emptyMap(), emptyMap(), rolloutLeaderPresent = false, emptySet()),
        )
    private val observers = ArrayList<(FleetSnapshot) -> Unit>()
    private val revisions = HashMap<String, Long>()
    private val endpointsByKey = HashMap<String, EndpointEntry>()
    private val peersByKey = HashMap<String, PeerEntry>()
    private val weights = HashMap<ModelName, WeightsTarget>()
    private var config: FleetConfig? = null
    private var leaderKey: String? = null
    private var hotCustomers: Set<CustomerId> = emptySet()
    private var blockListKey: String? = null
    private var blockList = StoredBlockList()
    private var servedVersionsKey: String? = null
    private var servedVersions = StoredVersions()
    private var contactRestoredAt: ClockReading? = null
    private var initialListingApplied = false

    val snapshot: FleetSnapshot
        get() = current.get()

    /** Calls [observer] with the new snapshot after each change, on the mirror's thread. */
    fun observe(observer: (FleetSnapshot) -> Unit) {
        observers.add(observer)
    }

    override fun onListed(changes: List<StoreChange>) {
        val present = changes.mapTo(HashSet()) { it.key }
        val known = endpointsByKey.keys + peersByKey.keys + setOfNotNull(leaderKey, servedVersionsKey)
        val absent = known.filter { it !in present }
        absent.forEach(::itemRemoved)
        if (blockListKey !in present) blockList = StoredBlockList(removals = blockList.removals)
        changes.forEach(::apply)
        if (!initialListingApplied) backdateInitialTargets()
        initialListingApplied = true
        publish()
    }

    /**
     * Assigns a time to target weights that were set before this instance started, since the store doesn't record one.
     *
     * If an engine already runs them, they were set some time ago, and older weights may have been outdated for too
     * long. They are dated far back, so that older weights are not used. Otherwise they count as just set.
     */
    private fun backdateInitialTargets() {
        for ((model, target) in weights.toMap()) {
            val loaded = endpointsByKey.values.any { (it.weights[model] ?: return@any false) >= target.weights }
            if (loaded) {
                weights[model] =
                    WeightsTarget(target.weights, listOf(target.weights to clock.now().plus(-ASSUMED_AGE_MILLIS)))
            }
        }
    }

    override fun onChanged(changes: List<StoreChange>) {
        changes.forEach(::apply)
        publish()
    }

    override fun onContactRestored() {
        contactRestoredAt = clock.now()
    }

    private fun apply(change: StoreChange) {
        if (change.revision <= (revisions[change.key] ?: 0)) return
        revisions[change.key] = change.revision
        if (change.value == null) {
            if (change.key == blockListKey) blockList = StoredBlockList(removals = blockList.removals + 1)
            itemRemoved(change.key)
        } else {
            itemWritten(change.key, change.value)
        }
    }

    private fun itemWritten(
        key: String,
        value: ByteArray,
    ) {
        when (val update = decode(key, value)) {
            null -> Unit
            is FleetUpdate.Config -> applyConfig(update.config)
            is FleetUpdate.TargetWeights -> applyTargetWeights(update)
            is FleetUpdate.Endpoint -> {
                val known = endpointsByKey.put(key, update.entry)
                if (known != update.entry) logger.info { "directory: endpoint ${describe(update.entry)}" }
            }
            is FleetUpdate.Peer -> peersByKey[key] = update.entry
            FleetUpdate.RolloutLeader -> leaderKey = key
            is FleetUpdate.HotCustomers -> hotCustomers = update.customers
            is FleetUpdate.BlockList -> {
                blockListKey = key
                blockList = blockList.copy(ids = update.ids, revision = revisions.getValue(key))
            }
            is FleetUpdate.ServedVersions -> {
                servedVersionsKey = key
                servedVersions = StoredVersions(update.versions, revisions.getValue(key))
            }
            is FleetUpdate.Unreadable -> {
                logger.warn { "directory: unreadable item key=$key reason=${update.reason}" }
                endpointsByKey.remove(key)
            }
        }
    }

    private fun describe(entry: EndpointEntry) =
        "id=${entry.id} service=${entry.service} address=${entry.address} leaving=${entry.leaving} " +
            "weights=${entry.weights.values.joinToString(",")} software=${entry.software} " +
            "startedAt=${entry.startedAtUnixMillis}"

    private fun applyConfig(received: FleetConfig) {
        val known = config
        if (known != null && received.number <= known.number) {
            logger.warn { "directory: configuration ${received.number} is not newer than ${known.number}; ignored" }
            return
        }
        config = received
        logger.info {
            "directory: configuration ${received.number} applied routes=${received.routes.size} " +
                "customers=${received.customers.size}"
        }
    }

    private fun applyTargetWeights(update: FleetUpdate.TargetWeights) {
        val known = weights[update.model]
        if (known != null && known.weights >= update.weights) return
        val previous = known ?: WeightsTarget(update.weights, emptyList())
        weights[update.model] = previous.next(update.weights, clock.now())
        logger.info { "directory: target weights set model=${update.model} weights=${update.weights}" }
    }

    private fun itemRemoved(key: String) {
        if (key == leaderKey) leaderKey = null
        if (key == servedVersionsKey) servedVersions = StoredVersions()
        peersByKey.remove(key)
        val entry = endpointsByKey[key] ?: return
        val graceMillis = contactRestoredAt?.let { EXPIRY_GRACE_MILLIS - clock.ageMillis(it) } ?: 0
        if (graceMillis <= 0 || entry.leaving) {
            endpointsByKey.remove(key)
            logger.info { "directory: endpoint removed id=${entry.id}" }
            return
        }
        logger.info {
            "directory: endpoint id=${entry.id} expired during a store outage; kept for $graceMillis ms"
        }
        timers.after("expired endpoint", graceMillis) {
            if (endpointsByKey[key] === entry) {
                endpointsByKey.remove(key)
                logger.info { "directory: endpoint removed id=${entry.id}" }
                publish()
            }
        }
    }

    private fun publish() {
        val endpoints = endpointsByKey.values.associateBy { it.id }
        val peers = peersByKey.values.associateBy { it.name }
        val next =
            FleetSnapshot(
                config,
                weights.toMap(),
                endpoints,
                peers,
                leaderKey != null,
                hotCustomers,
                blockList,
                servedVersions,
            )
        current.set(next)
        observers.forEach { it(next) }
    }

    private companion object {
        /** Running endpoints write their items again within about two seconds after the store becomes available. */
        const val EXPIRY_GRACE_MILLIS: Long = 2_000

        /** Exceeds any limit on the time for which outdated weights may serve. */
        const val ASSUMED_AGE_MILLIS: Long = 3_600_000
    }
}
