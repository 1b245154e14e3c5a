package lacewingweir.coordination.stream

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import lacewingweir.coordination.fleet.FleetSnapshot
import lacewingweir.coordination.gossip.DigestNetwork
import lacewingweir.coordination.gossip.PeerDatagram
import lacewingweir.state.fleet.PeerEntry
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.RequestId
import lacewingweir.state.id.SoftwareVersion
import lacewingweir.state.id.StreamTag
import lacewingweir.state.stream.StreamOrigin
import lacewingweir.testing.FLEET_DOMAIN
import lacewingweir.testing.FLEET_SERVICE
import lacewingweir.testing.ManualTimers
import lacewingweir.testing.engineFleet
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNull

/** Runs the agents of a fleet over a network that delivers at once, to the instances that run. */
internal class StreamVersionsTest {
    private val timers = ManualTimers()
    private val running = HashMap<String, StreamVersions>()
    private val viewAges = HashMap<String, Long>()
    private val stored = HashMap<RequestId, StreamOrigin>()
    private var sent = 0
    private var snapshot = fleet("v1", "v1")

    private val network =
        object : DigestNetwork {
            override suspend fun send(
                datagram: PeerDatagram,
                targets: List<Pair<String, Int>>,
            ): Int {
                sent += targets.size
                targets.forEach { (host, _) -> running[host]?.onMessage(datagram.streamMessage!!) }
                return 100
            }
        }

    private fun fleet(
        vararg versions: String,
        passed: List<String> = emptyList(),
        listings: Int = 0,
    ): FleetSnapshot {
        val ids = versions.indices.map { "i-$it" }
        val entries = engineFleet(*ids.toTypedArray(), startedAt = System.currentTimeMillis()).endpoints
        val endpoints =
            entries.mapValues { (id, entry) ->
                entry.copy(software = SoftwareVersion(versions[ids.indexOf(id.value)]))
            }
        val peers = List(SIZE) { "a$it" }.associateWith { PeerEntry(it, it, 1, FLEET_DOMAIN) }
        val passedEndpoints = passed.map { endpoints.values.first().copy(software = SoftwareVersion(it)) }
        return FleetSnapshot(
            null,
            emptyMap(),
            endpoints,
            peers,
            false,
            emptySet(),
            passedEndpoints = passedEndpoints,
            listings = listings,
        )
    }

    private fun startAll() = repeat(SIZE) { start("a$it") }

    private fun start(name: String) {
        val agent =
            StreamVersions(
                name,
                timers,
                CoroutineScope(Dispatchers.Unconfined),
                network,
                { snapshot },
                { viewAges[name] ?: 0 },
                toStore = { stored += it },
                provesView = { name !in viewAges },
            )
        running[name] = agent.also { it.onFleet(snapshot) }
    }

    private fun publish(next: FleetSnapshot) {
        snapshot = next
        running.values.forEach { it.onFleet(next) }
    }

    private fun endpoint(number: Int) = snapshot.endpoints.getValue(EndpointId("i-$number"))

    private fun originAt(
        name: String,
        call: String,
    ): String? =
        runBlocking {
            running
                .getValue(name)
                .originOf(RequestId(call), FLEET_SERVICE)
                ?.software
                ?.value
        }

    @Test
    fun `a stream is known at all instances after its own has ended`() {
        snapshot = fleet("v1", "v2")
        startAll()
        running.getValue("a0").onBegun(RequestId("s1"), endpoint(1))
        running -= "a0"
        running.keys.forEach { expectThat(originAt(it, "s1")).isEqualTo("v2") }
    }

    /** Guards against streams that began before the second version came, at an instance that ends after it did. */
    @Test
    fun `streams that run already are told to peers when a second version appears`() {
        startAll()
        repeat(50) { running.getValue("a0").onBegun(RequestId("s$it"), endpoint(0)) }
        publish(fleet("v1", "v1", "v2"))
        running -= "a0"
        repeat(50) { expectThat(originAt("a1", "s$it")).isEqualTo("v1") }
    }

    @Test
    fun `a stream that no running instance knows can't go on`() {
        snapshot = fleet("v1", "v2")
        startAll()
        expectThat(originAt("a0", "unknown")).isNull()
    }

    /** Guards against traffic between instances in quiet times. */
    @Test
    fun `nothing is sent while the service has one version`() {
        startAll()
        timers.advance(60_000)
        sent = 0
        repeat(100) { running.getValue("a${it % SIZE}").onBegun(RequestId("s$it"), endpoint(0)) }
        running -= "a0"
        repeat(100) { expectThat(originAt("a1", "s$it")).isEqualTo("v1") }
        expectThat(sent).isEqualTo(0)
    }

    @Test
    fun `an instance that has just started learns from its peers that there was one version`() {
        startAll()
        timers.advance(60_000)
        start("a0")
        expectThat(originAt("a0", "s1")).isEqualTo("v1")
    }

    /** Guards against an instance that is cut off from the store and sees one version where there are two. */
    @Test
    fun `an instance with an old view asks its peers`() {
        startAll()
        timers.advance(60_000)
        viewAges["a0"] = 20_000
        val old = running.getValue("a0")
        snapshot = fleet("v1", "v2")
        (running - "a0").values.forEach { it.onFleet(snapshot) }
        running.getValue("a1").onBegun(RequestId("s1"), endpoint(1))
        expectThat(originAt("a0", "s1")).isEqualTo("v2")
        expectThat(runBlocking { old.originOf(RequestId("s2"), FLEET_SERVICE) }).isNull()
    }

    /**
     * Guards against streams that go on at the old version, through an instance that the store has ignored since before
     * the new version came.
     */
    @Test
    fun `a view of a second ago doesn't tell where a stream began`() {
        startAll()
        timers.advance(60_000)
        viewAges["a0"] = 1_000
        snapshot = fleet("v1", "v2")
        (running - "a0").values.forEach { it.onFleet(snapshot) }
        repeat(50) { running.getValue("a1").onBegun(RequestId("s$it"), endpoint(1)) }
        repeat(50) { expectThat(originAt("a0", "s$it")).isEqualTo("v2") }
    }

    /** Guards against the same when the instance of the stream and all that were told have ended. */
    @Test
    fun `one peer that has seen a new version rules out that the old one was the only one`() {
        startAll()
        timers.advance(60_000)
        listOf("a0", "a1", "a2", "a3").forEach { viewAges[it] = 1_000 }
        snapshot = fleet("v1", "v2")
        running.getValue("a4").onFleet(snapshot)
        expectThat(originAt("a0", "s1")).isNull()
    }

    /** Guards against instances that agree on an old view because the store ignores all of them. */
    @Test
    fun `nobody infers where a stream began while nobody can prove its view`() {
        startAll()
        timers.advance(60_000)
        running.keys.forEach { viewAges[it] = 1_000 }
        expectThat(originAt("a0", "s1")).isNull()
    }

    @Test
    fun `an instance that the store ignores infers from a peer that can prove its view`() {
        startAll()
        timers.advance(60_000)
        (running.keys - "a7").forEach { viewAges[it] = 1_000 }
        expectThat(originAt("a0", "s1")).isEqualTo("v1")
    }

    /** Guards against a version that comes and goes between two looks at the fleet. */
    @Test
    fun `a version that came and went between two snapshots counts as a recent one`() {
        startAll()
        timers.advance(60_000)
        publish(fleet("v1", "v1", passed = listOf("v2")))
        expectThat(originAt("a0", "s1")).isNull()
    }

    /** Guards against a version that came and went while an instance saw nothing, before it listed all items again. */
    @Test
    fun `what was observed before a further listing doesn't count`() {
        startAll()
        timers.advance(60_000)
        publish(fleet("v1", "v1", listings = 1))
        timers.advance(1_000)
        expectThat(originAt("a0", "s1")).isEqualTo("v1")
        publish(fleet("v1", "v1", listings = 2))
        expectThat(originAt("a0", "s1")).isNull()
    }

    /** Guards against a peer that has not seen the second version yet and takes the first for the only one. */
    @Test
    fun `what a peer infers doesn't count at an instance that knows of several versions`() {
        startAll()
        timers.advance(60_000)
        snapshot = fleet("v1", "v2")
        (running - "a2").values.forEach { it.onFleet(snapshot) }
        expectThat(originAt("a1", "s1")).isNull()
    }

    /** Guards against an instance that has not seen the second version yet, and tells its guess as a fact later. */
    @Test
    fun `what an instance has inferred for a caller never replaces what others know`() {
        startAll()
        timers.advance(60_000)
        snapshot = fleet("v1", "v2")
        (running - "a2").values.forEach { it.onFleet(snapshot) }
        repeat(50) { running.getValue("a0").onBegun(RequestId("s$it"), endpoint(1)) }
        repeat(50) { originAt("a2", "s$it") }
        running.getValue("a2").onFleet(snapshot)
        running -= "a0"
        repeat(50) { call -> running.keys.forEach { expectThat(originAt(it, "s$call")).isEqualTo("v2") } }
    }

    /** Guards against streams that nobody knows any more after all instances have ended. */
    @Test
    fun `instances that start after all have ended know streams from the store`() {
        snapshot = fleet("v1", "v2")
        startAll()
        repeat(50) { running.getValue("a${it % SIZE}").onBegun(RequestId("s$it"), endpoint(it % 2)) }
        running.clear()
        startAll()
        val items = stored.entries.groupBy({ it.value }, { StreamTag.of(it.key) })
        running.values.forEach { it.onStored(items) }
        repeat(50) { expectThat(originAt("a${it % SIZE}", "s$it")).isEqualTo("v${it % 2 + 1}") }
    }

    /** Guards against losing more streams than instances when some end at once. */
    @Test
    fun `most streams are known when six of ten instances end at once`() {
        snapshot = fleet("v1", "v2")
        startAll()
        repeat(200) { running.getValue("a${it % 6}").onBegun(RequestId("s$it"), endpoint(it % 2)) }
        repeat(6) { running -= "a$it" }
        val known = (0 until 200).count { originAt("a9", "s$it") == "v${it % 2 + 1}" }
        expectThat(known).isGreaterThan(140)
    }

    private companion object {
        const val SIZE = 10
    }
}
