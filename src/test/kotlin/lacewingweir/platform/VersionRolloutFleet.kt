package lacewingweir.platform

import kotlinx.coroutines.runBlocking
import lacewingweir.coordination.fleet.FleetDirectory
import lacewingweir.coordination.fleet.FleetSnapshot
import lacewingweir.coordination.fleet.StoreContactProof
import lacewingweir.coordination.gossip.InstanceDigest
import lacewingweir.coordination.lease.RolloutLease
import lacewingweir.coordination.store.StoreChange
import lacewingweir.coordination.versions.VersionAnswer
import lacewingweir.coordination.versions.VersionRolloutAgent
import lacewingweir.coordination.versions.VersionRollouts
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.RouteId
import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.SoftwareVersion
import lacewingweir.state.time.SuspendAwareClock
import lacewingweir.testing.ManualTimers
import lacewingweir.testing.MemoryClusterStore
import kotlin.random.Random

/** An answer of a version in [VersionRolloutFleet]. */
internal data class PlayedAnswer(
    val failed: Boolean = false,
    val millis: Long = 100,
    val hangs: Boolean = false,
)

/** What an answer of the new version depends on. [load] is the number of calls that run at the new endpoints. */
internal data class PlayedCall(
    val elapsedMillis: Long,
    val route: Int,
    val load: Int,
    val random: Random,
)

/**
 * Instances that follow and decide on rollouts, on a store in memory. Their digests arrive after 0.3 to 1.2 s. Calls
 * arrive at random and are answered by endpoints of versions `old` and `new`.
 */
internal class VersionRolloutFleet(
    count: Int,
    private val callsPerSecond: Double = 200.0,
    private val services: List<String> = listOf("s"),
    private val oldBadShare: Double = 0.0,
    seed: Int = 1,
    private val answer: (service: String, PlayedCall) -> PlayedAnswer = { _, _ -> PlayedAnswer() },
) {
    val random = Random(seed)
    val timers = ManualTimers()
    val store = MemoryClusterStore { timers.nowMillis() }
    private val startMillis = timers.nowMillis()

    /** Calls by service since the order, and those of them at `new` endpoints. */
    val calls = HashMap<String, Int>()
    val exposed = HashMap<String, Int>()
    val badAnswers = HashMap<String, Int>()

    /** When the fiftieth bad answer was given, and when the last call was sent to the target, by service. */
    val fiftiethBadMillis = HashMap<String, Long>()
    val lastExposedMillis = HashMap<String, Long>()
    var unservedCalls = 0

    /** Calls that run at old endpoints. */
    val runningOld get() = running.count { !it.isTarget }
    private val running = ArrayList<Running>()

    private class Running(
        val instance: Instance,
        val service: String,
        val endpoint: EndpointEntry,
        val route: Int,
        val isTarget: Boolean,
        val answer: PlayedAnswer,
        val endMillis: Long,
    )

    inner class Instance(
        val name: String,
        val run: Long,
    ) {
        private val instanceTimers = ManualTimers().also { it.advance(timers.nowMillis() - it.nowMillis()) }
        private val clock = SuspendAwareClock(instanceTimers, { instanceTimers.nowMillis() })
        private val directory =
            FleetDirectory(PlatformItemCodec::decode, clock, instanceTimers, StoreContactProof(clock))
        val rollouts =
            VersionRollouts(
                EXPOSE_SHARE,
                EXPOSE_SLACK,
                instanceTimers,
                { instanceTimers.nowMillis() },
                { instances.size },
                Random(random.nextInt()),
            )
        private val lease =
            RolloutLease(store, clock, PlatformKeys.VERSION_ROLLOUT_LEASE, name, 3_000, "version-rollout")
        private val agent =
            VersionRolloutAgent(
                store,
                rollouts,
                lease,
                VersionRolloutCodec.items,
                instanceTimers,
                instanceTimers,
                { directory.snapshot },
                ::runningAt,
                Random(random.nextInt()),
                pause = {},
            )
        val isLeader get() = lease.fencingToken() != null
        val snapshot: FleetSnapshot get() = directory.snapshot
        val digestIntervalMillis = random.nextLong(300, 1_200)
        var nextDigestMillis = timers.nowMillis() + random.nextLong(digestIntervalMillis)
        private var number = 0L

        /** Whether digests of peers don't arrive. */
        var isDeaf = false
        private var listedEra = 0L

        init {
            directory.observe { rollouts.onFleet(it) }
            mirror()
            agent.start()
        }

        /** Applies the current items of the store, as after a watch. */
        fun mirror() {
            if (store.away) return
            val items = store.items()
            val changes = items.map { StoreChange(it.key, it.revision, it.value) }
            val era = items.maxOfOrNull { it.revision ushr ERA_BITS } ?: listedEra
            if (era != listedEra && listedEra != 0L) directory.onRestored()
            listedEra = era
            directory.onListed(changes)
        }

        fun digest() =
            InstanceDigest(
                name,
                run,
                ++number,
                digestIntervalMillis,
                emptyMap(),
                emptyList(),
                emptyList(),
                versions = rollouts.tallies(),
            )

        fun advance(millis: Long) = instanceTimers.advance(millis)
    }

    private fun runningAt(id: EndpointId) = running.count { it.endpoint.id == id }

    private var runs = 0L
    val instances = ArrayList<Instance>()
    private var orderMillis = Long.MAX_VALUE

    init {
        for (service in services) addEndpoints(service, "old")
        repeat(count) { instances += Instance("i$it", ++runs) }
    }

    fun addEndpoints(
        service: String,
        version: String,
        count: Int = 4,
    ) {
        repeat(count) {
            val id = "$service-$version-$it"
            val json =
                """{"service":"$service","address":"127.0.0.1:9","zone":"z","slots":64,"state":"ready",""" +
                    """"born":1,"version":"$version"}"""
            store.put(PlatformKeys.ENDPOINT_PREFIX + id, json.encodeToByteArray())
        }
    }

    fun removeEndpoints(
        service: String,
        version: String,
        count: Int = 4,
    ) = repeat(count) { store.remove(PlatformKeys.ENDPOINT_PREFIX + "$service-$version-$it") }

    fun order(
        service: String = "s",
        target: String = "new",
        seconds: Int = 60,
    ) {
        orderMillis = minOf(orderMillis, timers.nowMillis())
        val json = """{"service":"$service","target":"$target","durationS":$seconds}"""
        store.put(PlatformKeys.ROLLOUT_ORDER_PREFIX + service, json.encodeToByteArray())
    }

    fun withdraw(service: String = "s") = store.remove(PlatformKeys.ROLLOUT_ORDER_PREFIX + service)

    fun status(service: String = "s"): String? = store.text(PlatformKeys.ROLLOUT_STATUS_PREFIX + service)

    fun state(service: String = "s"): String? = status(service)?.substringAfter("\"state\":\"")?.substringBefore('"')

    /** Replaces an instance by a new run, which has no memory. */
    fun restart(instance: Instance) {
        running.removeIf { it.instance === instance }
        instances[instances.indexOf(instance)] = Instance(instance.name, ++runs)
    }

    /** Plays [seconds], and [onTick] after each tick until it returns true. */
    fun play(
        seconds: Double,
        onTick: (elapsedMillis: Long) -> Boolean = { false },
    ): Unit =
        runBlocking {
            val end = timers.nowMillis() + (seconds * 1_000).toLong()
            while (timers.nowMillis() < end) {
                tick()
                if (onTick(timers.nowMillis() - startMillis)) break
            }
        }

    private fun tick() {
        timers.advance(TICK_MILLIS)
        val now = timers.nowMillis()
        for (instance in instances) {
            if (random.nextInt(4) == 0) instance.mirror()
            instance.advance(TICK_MILLIS)
            if (instance.nextDigestMillis <= now) sendDigest(instance, now)
        }
        val due = callsPerSecond * TICK_MILLIS / 1_000
        val arrivals = due.toInt() + if (random.nextDouble() < due - due.toInt()) 1 else 0
        repeat(arrivals) { call(services.random(random), now) }
        finish(now)
    }

    private fun sendDigest(
        instance: Instance,
        now: Long,
    ) {
        instance.nextDigestMillis = now + instance.digestIntervalMillis
        val digest = instance.digest()
        // One digest in twenty is lost.
        val receivers =
            instances.filter {
                it !== instance &&
                    random.nextInt(20) != 0 &&
                    !isSplit(it, instance) &&
                    !it.isDeaf
            }
        receivers.forEach { it.rollouts.onDigest(digest) }
    }

    /** Names of instances whose digests reach none of the others, and the other way round. */
    var cutOff: Set<String> = emptySet()

    /** Names of instances whose calls end without an answer, whichever endpoint they go to. */
    var unreachedBy: Set<String> = emptySet()

    private fun isSplit(
        first: Instance,
        second: Instance,
    ) = (first.name in cutOff) != (second.name in cutOff)

    private fun call(
        service: String,
        now: Long,
    ) {
        // Callers prefer some instances.
        val instance = instances[(random.nextDouble() * random.nextDouble() * instances.size).toInt()]
        val rules = instance.rollouts.rules
        val name = ServiceName(service)
        val usable = instance.snapshot.usable(name).filter(rules.accepting(name, false))
        val preferred = rules.preferring(name)?.let { usable.filter(it) }.orEmpty()
        val endpoint = preferred.ifEmpty { usable }.randomOrNull(random)
        if (now >= orderMillis) calls.merge(service, 1, Int::plus)
        if (endpoint == null) {
            unservedCalls++
            return
        }
        rules.onPlaced(endpoint)
        val route = if (random.nextInt(4) == 0) 1 else 0
        val isTarget = endpoint.software == SoftwareVersion("new")
        val load = running.count { it.isTarget }
        val played = PlayedCall(now - orderMillis, route, load, random)
        val given = if (isTarget) answer(service, played) else oldAnswer()
        if (isTarget) {
            exposed.merge(service, 1, Int::plus)
            lastExposedMillis[service] = now
        }
        running += Running(instance, service, endpoint, route, isTarget, given, now + given.millis)
    }

    private fun oldAnswer() = PlayedAnswer(random.nextDouble() < oldBadShare, 60 + random.nextLong(80))

    private fun finish(now: Long) {
        val ended = running.filter { it.endMillis <= now }
        running.removeAll(ended)
        for (it in ended) {
            val bad = it.isTarget && (it.answer.failed || it.answer.hangs || it.answer.millis > 400)
            if (bad && badAnswers.merge(it.service, 1, Int::plus) == 50) fiftiethBadMillis[it.service] = now
            val name = ServiceName(it.service)
            val route = RouteId("r${it.route}")
            it.instance.rollouts.onAnswer(
                VersionAnswer(
                    name,
                    it.endpoint.software,
                    route,
                    it.answer.failed,
                    it.answer.millis,
                    unclear = it.answer.hangs || it.instance.name in unreachedBy,
                ),
            )
        }
    }

    companion object {
        const val EXPOSE_SHARE = 0.1
        const val EXPOSE_SLACK = 50.0
        private const val TICK_MILLIS = 50L
        private const val ERA_BITS = 36
    }
}
