/**
 * The current belief about configuration, endpoints and peers, from the store's items.
 *
 * Within one run of the process the configuration only moves to higher numbers. Items that can't be read change
 * nothing, except that an unreadable endpoint names nothing to use. Endpoints whose items ended while the store was
 * away are kept for a while after its return, because they write their items anew.
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
import lacewingweir.state.time.Moment
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
    private var regainedAt: Moment? = null
    private var hasListed = false

    val snapshot: FleetSnapshot
        get() = current.get()

    /** Calls [observer] after each change, on the mirror's thread. */
    fun observe(observer: (FleetSnapshot) -> Unit) {
        observers.add(observer)
    }

    override fun onListed(changes: List<StoreChange>) {
        val present = changes.mapTo(HashSet()) { it.key }
        val missing = (endpointsByKey.keys + peersByKey.keys + setOfNotNull(leaderKey)).filter { it !in present }
        missing.forEach(::removed)
        changes.forEach(::apply)
        if (!hasListed) dateFormerNames()
        hasListed = true
        publish()
    }

    /**
     * An instance that has just started can't tell when weights were named. If an engine runs them already, they were
     * named a while ago, so the older ones may be overdue and are not used; else the naming is taken as new.
     */
    private fun dateFormerNames() {
        for ((model, target) in weights.toMap()) {
            val loaded = endpointsByKey.values.any { (it.weights[model] ?: return@any false) >= target.weights }
            if (loaded) {
                weights[model] =
                    WeightsTarget(target.weights, listOf(target.weights to clock.now().plus(-LONG_AGO_MILLIS)))
            }
        }
    }

    override fun onChanged(changes: List<StoreChange>) {
        changes.forEach(::apply)
        publish()
    }

    override fun onContactRestored() {
        regainedAt = clock.now()
    }

    private fun apply(change: StoreChange) {
        if (change.revision <= (revisions[change.key] ?: 0)) return
        revisions[change.key] = change.revision
        if (change.value == null) removed(change.key) else written(change.key, change.value)
    }

    private fun written(
        key: String,
        value: ByteArray,
    ) {
        when (val fact = decode(key, value)) {
            null -> Unit
            is FleetUpdate.Config -> adopt(fact.config)
            is FleetUpdate.TargetWeights -> name(fact)
            is FleetUpdate.Endpoint -> {
                val known = endpointsByKey.put(key, fact.entry)
                if (known != fact.entry) logger.info { "directory: endpoint ${describe(fact.entry)}" }
            }
            is FleetUpdate.Peer -> peersByKey[key] = fact.entry
            FleetUpdate.RolloutLeader -> leaderKey = key
            is FleetUpdate.HotCustomers -> hotCustomers = fact.customers
            is FleetUpdate.Unreadable -> {
                logger.warn { "directory: unreadable item key=$key reason=${fact.reason}" }
                endpointsByKey.remove(key)
            }
        }
    }

    private fun describe(entry: EndpointEntry) =
        "id=${entry.id} service=${entry.service} address=${entry.address} leaving=${entry.leaving} " +
            "weights=${entry.weights.values.joinToString(",")}"

    private fun adopt(offered: FleetConfig) {
        val known = config
        if (known != null && offered.number <= known.number) {
            logger.warn { "directory: configuration ${offered.number} is not newer than ${known.number}; kept" }
            return
        }
        config = offered
        logger.info {
            "directory: configuration ${offered.number} adopted routes=${offered.routes.size} " +
                "customers=${offered.customers.size}"
        }
    }

    private fun name(fact: FleetUpdate.TargetWeights) {
        val known = weights[fact.model]
        if (known != null && known.weights >= fact.weights) return
        val former = known ?: WeightsTarget(fact.weights, emptyList())
        weights[fact.model] = former.next(fact.weights, clock.now())
        logger.info { "directory: weights named model=${fact.model} weights=${fact.weights}" }
    }

    private fun removed(key: String) {
        if (key == leaderKey) leaderKey = null
        peersByKey.remove(key)
        val entry = endpointsByKey[key] ?: return
        val graceLeft = regainedAt?.let { LAPSE_GRACE_MILLIS - clock.ageMillis(it) } ?: 0
        if (graceLeft <= 0 || entry.leaving) {
            endpointsByKey.remove(key)
            logger.info { "directory: endpoint gone id=${entry.id}" }
            return
        }
        logger.info { "directory: endpoint id=${entry.id} lapsed during an outage; kept for $graceLeft ms" }
        timers.after("lapsed endpoint", graceLeft) {
            if (endpointsByKey[key] === entry) {
                endpointsByKey.remove(key)
                logger.info { "directory: endpoint gone id=${entry.id}" }
                publish()
            }
        }
    }

    private fun publish() {
        val endpoints = endpointsByKey.values.associateBy { it.id }
        val peers = peersByKey.values.associateBy { it.name }
        val next = FleetSnapshot(config, weights.toMap(), endpoints, peers, leaderKey != null, hotCustomers)
        current.set(next)
        observers.forEach { it(next) }
    }

    private companion object {
        /** Endpoints that live write their items again within about two seconds of the store's return. */
        const val LAPSE_GRACE_MILLIS: Long = 2_000

        /** Longer than any time for which outdated weights may serve. */
        const val LONG_AGO_MILLIS: Long = 3_600_000
    }
}
