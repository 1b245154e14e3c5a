/**
 * Maintains the fleet's configuration, target weights, endpoints and peers from the items of the store.
 *
 * Within one run of the process, a configuration is replaced only by one with a higher number. Unreadable items are
 * ignored, except that an endpoint with an unreadable item is removed. Endpoints whose leases expired during an outage
 * of the store are kept for a short time after it, since running endpoints write their items again. Endpoints that have
 * said in a response or an item that they leave count as leaving whatever their items say later.
 *
 * A store that was restored from an older copy shows what was current when the copy was made. Configurations and target
 * weights don't go back, since only higher numbers replace them; endpoints whose items were removed since are used only
 * if they write them again.
 */
package lacewingweir.coordination.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import lacewingweir.coordination.store.StoreChange
import lacewingweir.coordination.time.TimerService
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.fleet.FleetConfig
import lacewingweir.state.fleet.PeerEntry
import lacewingweir.state.fleet.TargetAge
import lacewingweir.state.fleet.TargetMoment
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.EndpointTag
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.StreamTag
import lacewingweir.state.id.WeightsNumber
import lacewingweir.state.stream.StreamOrigin
import lacewingweir.state.time.ClockReading
import lacewingweir.state.time.MonotonicClock
import lacewingweir.state.time.SuspendAwareClock
import java.util.concurrent.atomic.AtomicReference

private val logger = KotlinLogging.logger {}

/** [proof] must be that of the mirror that calls this listener, which extends it after the changes were applied. */
internal class FleetDirectory(
    private val decode: FleetUpdateDecoder,
    private val clock: SuspendAwareClock,
    private val timers: TimerService,
    private val proof: StoreContactProof,
) : MirrorListener {
    private val current =
        AtomicReference(
            FleetSnapshot(null, emptyMap(), emptyMap(), emptyMap(), rolloutLeaderPresent = false, emptySet()),
        )
    private val observers = ArrayList<(FleetSnapshot) -> Unit>()
    private val streamObservers = ArrayList<(Map<StreamOrigin, List<StreamTag>>) -> Unit>()
    private val revisions = HashMap<String, Long>()
    private val endpointsByKey = HashMap<String, EndpointEntry>()
    private val peersByKey = HashMap<String, PeerEntry>()
    private val leavingEndpoints = LeavingEndpoints(MonotonicClock.SYSTEM)
    private val targetDates = TargetDates(clock)
    private var config: FleetConfig? = null
    private var leaderKey: String? = null
    private var hotCustomers: Set<CustomerId> = emptySet()
    private var blockListKey: String? = null
    private var blockList = StoredBlockList()
    private var targetMomentsKey: String? = null
    private var targetMoments = StoredTargetMoments()
    private var servedVersionsKey: String? = null
    private var servedVersions = StoredVersions()
    private val versionRollouts = VersionRolloutItems()
    private var contactRestoredAt: ClockReading? = null

    /** Endpoints whose items were removed, which an older copy of the store still contains. */
    private val removedEndpoints = LinkedHashSet<EndpointTag>()

    /** Whether the changes that are applied now are the first listing of a restored store. */
    private var listingRestored = false

    /** Whether the changes that are applied now are the first ones after failed calls. */
    private var afterFailures = false
    private var listings = 0

    /** Endpoints written since the last snapshot, by their keys. */
    private val writtenEndpoints = ArrayList<Pair<String, EndpointEntry>>()

    val snapshot: FleetSnapshot
        get() = current.get()

    /** Calls [observer] with the new snapshot after each change, on the mirror's thread. */
    fun observe(observer: (FleetSnapshot) -> Unit) {
        observers.add(observer)
    }

    /** Calls [observer] with the streams of each item that tells of streams that began lately. */
    fun observeBegunStreams(observer: (Map<StreamOrigin, List<StreamTag>>) -> Unit) {
        streamObservers.add(observer)
    }

    override fun onListed(changes: List<StoreChange>) {
        val present = changes.mapTo(HashSet()) { it.key }
        val known = endpointsByKey.keys + peersByKey.keys + setOfNotNull(leaderKey, servedVersionsKey)
        val absent = known.filter { it !in present }
        absent.forEach(::itemRemoved)
        versionRollouts.onListed(present, listingRestored)
        if (blockListKey !in present) blockList = StoredBlockList(removals = blockList.removals)
        if (targetMomentsKey !in present) targetMoments = StoredTargetMoments()
        changes.forEach(::apply)
        applyTargetMoments()
        if (listings++ == 0) backdateLoadedTargets()
        listingRestored = false
        publish()
    }

    override fun onRestored() {
        // Endpoints that have registered since the copy was made write their items again.
        contactRestoredAt = clock.now()
        listingRestored = true
    }

    /**
     * Target weights that an engine ran when this instance started were set some time ago, and older weights may have
     * been outdated for too long.
     */
    private fun backdateLoadedTargets() {
        for ((model, target) in targetDates.targets()) {
            val loaded = endpointsByKey.values.any { (it.weights[model] ?: return@any false) >= target.weights }
            if (loaded) targetDates.assumeLongAgo(model)
        }
    }

    override fun onChanged(changes: List<StoreChange>) {
        changes.forEach(::apply)
        applyTargetMoments()
        publish()
    }

    /** Returns the ages of recent targets that this instance has observed itself. */
    fun observedTargetAges(): List<TargetAge> = targetDates.observedAges()

    /** Returns the moments of recent targets that this instance has observed itself. */
    fun observedTargetMoments(): List<TargetMoment> {
        val now = clock.now().wallMillis
        return observedTargetAges().map { TargetMoment(it.model, WeightsNumber(it.weights), now - it.ageMillis) }
    }

    /** Takes over the ages of targets that [peer] has observed. */
    fun onTargetAges(
        peer: String,
        ages: List<TargetAge>,
    ) {
        val changed = ages.filter { targetDates.onTold(peer, it) }
        for ((model, weights) in changed) logTarget("dated", model, WeightsNumber(weights), source = peer)
        if (changed.isNotEmpty()) publish()
    }

    /** Records that endpoints have said that they leave, according to [source]: this instance itself or a peer. */
    fun onLeaving(
        endpoints: List<EndpointTag>,
        source: String,
    ) {
        val added = endpoints.filter { leavingEndpoints.add(it) }
        if (added.isEmpty()) return
        val known = endpointsByKey.values.filter { it.tag in added }
        logger.info { "directory: endpoints say that they leave ids=${known.map { it.id }} source=$source" }
        if (known.isNotEmpty()) publish()
    }

    /** Returns the endpoints of which this instance has recently learned that they leave. */
    fun recentlyLeaving(): List<EndpointTag> = leavingEndpoints.news()

    override fun onContactRestored() {
        contactRestoredAt = clock.now()
        afterFailures = true
    }

    private fun apply(change: StoreChange) {
        if (change.revision <= (revisions[change.key] ?: 0)) return
        revisions[change.key] = change.revision
        if (change.value == null) {
            if (change.key == targetMomentsKey) targetMoments = StoredTargetMoments()
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
        when (val update = read(key, value)) {
            null -> Unit
            is FleetUpdate.Config -> applyConfig(update.config)
            is FleetUpdate.TargetWeights -> applyTargetWeights(update)
            is FleetUpdate.Endpoint -> endpointWritten(key, update.entry)
            is FleetUpdate.Peer -> peersByKey[key] = update.entry
            FleetUpdate.RolloutLeader -> leaderKey = key
            is FleetUpdate.HotCustomers -> hotCustomers = update.customers
            is FleetUpdate.BlockList -> blockListWritten(key, update)
            is FleetUpdate.TargetMoments -> targetMomentsWritten(key, update)
            is FleetUpdate.ServedVersions -> servedVersionsWritten(key, update)
            is FleetUpdate.VersionRolloutUpdate ->
                versionRollouts.onWritten(key, update, revisions.getValue(key))
            is FleetUpdate.BegunStreams -> begunStreamsWritten(update)
            is FleetUpdate.Unreadable -> {
                logger.warn { "directory: unreadable item key=$key reason=${update.reason}" }
                endpointsByKey.remove(key)
            }
        }
    }

    private fun begunStreamsWritten(update: FleetUpdate.BegunStreams) = streamObservers.forEach { it(update.streams) }

    private fun blockListWritten(
        key: String,
        update: FleetUpdate.BlockList,
    ) {
        blockListKey = key
        blockList = blockList.copy(ids = update.ids, revision = revisions.getValue(key))
    }

    private fun targetMomentsWritten(
        key: String,
        update: FleetUpdate.TargetMoments,
    ) {
        targetMomentsKey = key
        targetMoments = StoredTargetMoments(update.moments, revisions.getValue(key))
    }

    private fun servedVersionsWritten(
        key: String,
        update: FleetUpdate.ServedVersions,
    ) {
        servedVersionsKey = key
        servedVersions = StoredVersions(update.versions, revisions.getValue(key))
    }

    /** Decodes an item. Whatever it holds, a failure concerns this item only. */
    private fun read(
        key: String,
        value: ByteArray,
    ): FleetUpdate? =
        try {
            decode(key, value)
        } catch (e: Exception) {
            FleetUpdate.Unreadable("not decoded: $e")
        } catch (e: VirtualMachineError) {
            // The decoder bounds what it uses of the stack and the heap, but the rest of the process uses both too.
            FleetUpdate.Unreadable("not decoded: $e")
        }

    private fun endpointWritten(
        key: String,
        entry: EndpointEntry,
    ) {
        if (entry.leaving) leavingEndpoints.add(entry.tag, isNews = false)
        if (listingRestored && entry.tag in removedEndpoints) {
            logger.info { "directory: endpoint id=${entry.id} was removed before the store was restored; not used" }
            return
        }
        removedEndpoints.remove(entry.tag)
        writtenEndpoints += key to entry
        val known = endpointsByKey.put(key, entry)
        if (known != entry) logger.info { "directory: endpoint ${describe(entry)}" }
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
        val known = targetDates.newest(update.model)
        if (known != null && known >= update.weights) return
        val knownAt = proof.moment
        targetDates.add(update.model, update.weights, knownAt, afterFailures)
        logTarget("set", update.model, update.weights, source = if (knownAt == null) "assumed" else "watched")
    }

    /** Dates targets by the item of the store, whose order with respect to the targets themselves is arbitrary. */
    private fun applyTargetMoments() {
        for (target in targetMoments.moments) {
            if (targetDates.onStored(target)) logTarget("dated", target.model, target.weights, source = "store")
        }
    }

    private fun logTarget(
        event: String,
        model: ModelName,
        weights: WeightsNumber,
        source: String,
    ) = logger.info {
        "directory: target weights $event model=$model weights=$weights " +
            "age=${targetDates.ageMillis(model, weights)} source=$source"
    }

    private fun itemRemoved(key: String) {
        if (key == leaderKey) leaderKey = null
        if (key == servedVersionsKey) servedVersions = StoredVersions()
        versionRollouts.onRemoved(key)
        peersByKey.remove(key)
        val entry = endpointsByKey[key] ?: return
        val graceMillis = contactRestoredAt?.let { EXPIRY_GRACE_MILLIS - clock.ageMillis(it) } ?: 0
        if (graceMillis <= 0 || entry.leaving) {
            endpointsByKey.remove(key)
            removedEndpoints += entry.tag
            if (removedEndpoints.size > MAX_REMOVED_ENDPOINTS) removedEndpoints.remove(removedEndpoints.first())
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

    private fun withStatement(entry: EndpointEntry) =
        if (!entry.leaving && entry.tag in leavingEndpoints) entry.copy(leaving = true) else entry

    private fun publish() {
        afterFailures = false
        val endpoints = endpointsByKey.values.map(::withStatement).associateBy { it.id }
        val peers = peersByKey.values.associateBy { it.name }
        val passed = writtenEndpoints.filter { (key, entry) -> endpointsByKey[key] !== entry }.map { it.second }
        writtenEndpoints.clear()
        val next =
            FleetSnapshot(
                config,
                targetDates.targets(),
                endpoints,
                peers,
                leaderKey != null,
                hotCustomers,
                blockList,
                targetMoments,
                servedVersions,
                passed,
                listings,
                versionRollouts.toStored(),
            )
        current.set(next)
        observers.forEach { it(next) }
    }

    private companion object {
        /** Running endpoints write their items again within about two seconds after the store becomes available. */
        const val EXPIRY_GRACE_MILLIS: Long = 2_000

        /** More than are removed within the age of any copy. */
        const val MAX_REMOVED_ENDPOINTS: Int = 4_096
    }
}
