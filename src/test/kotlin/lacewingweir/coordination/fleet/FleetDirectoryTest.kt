package lacewingweir.coordination.fleet

import lacewingweir.coordination.store.StoreChange
import lacewingweir.state.fleet.CallerLimits
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.fleet.FleetConfig
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.SoftwareVersion
import lacewingweir.state.id.SuspectId
import lacewingweir.state.id.WeightsNumber
import lacewingweir.state.stream.ServedVersion
import lacewingweir.state.time.SuspendAwareClock
import lacewingweir.testing.ManualTimers
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull

internal class FleetDirectoryTest {
    private val timers = ManualTimers()
    private val clock = SuspendAwareClock(timers, { 0 })
    private val proof = StoreContactProof(clock)
    private val directory = FleetDirectory(::decode, clock, timers, proof)
    private var revision = 0L
    private val service = ServiceName("s")

    private fun decode(
        key: String,
        value: ByteArray,
    ): FleetUpdate {
        val text = value.decodeToString()
        return when {
            text == "?" -> FleetUpdate.Unreadable("test")
            key == "config" ->
                FleetUpdate.Config(
                    FleetConfig(text.toLong(), emptyList(), emptyList(), emptyList(), CallerLimits()),
                )
            key == "blocked" -> FleetUpdate.BlockList(setOf(SuspectId(text)))
            key == "versions" -> FleetUpdate.ServedVersions(setOf(ServedVersion(service, SoftwareVersion(text))))
            key == "weights" -> FleetUpdate.TargetWeights(ModelName("m"), WeightsNumber(text.toLong()))
            else -> FleetUpdate.Endpoint(endpoint(key, leaving = text == "leaving", weights = text.toLongOrNull() ?: 1))
        }
    }

    private fun endpoint(
        id: String,
        leaving: Boolean,
        weights: Long,
    ) = EndpointEntry(
        EndpointId(id),
        service,
        "127.0.0.1",
        1,
        FailureDomain("d"),
        4,
        leaving,
        0,
        mapOf(
            ModelName("m") to WeightsNumber(weights),
        ),
    )

    private fun write(
        key: String,
        value: String,
    ) = directory.onChanged(listOf(StoreChange(key, ++revision, value.encodeToByteArray())))

    private fun remove(key: String) = directory.onChanged(listOf(StoreChange(key, ++revision, null)))

    private fun usable() = directory.snapshot.usable(service).map { it.id.value }

    @Test
    fun `the configuration is never replaced by an older or unreadable one`() {
        write("config", "7")
        write("config", "5")
        write("config", "?")
        expectThat(directory.snapshot.config).isNotNull().get { number }.isEqualTo(7)
    }

    @Test
    fun `a change that arrives twice or late is ignored`() {
        write("e", "ready")
        remove("e")
        directory.onChanged(listOf(StoreChange("e", 1, "ready".encodeToByteArray())))
        expectThat(usable()).isEmpty()
    }

    @Test
    fun `leaving and unreadable endpoints are not usable`() {
        write("a", "ready")
        write("b", "ready")
        write("c", "ready")
        write("b", "leaving")
        write("c", "?")
        expectThat(usable()).containsExactly("a")
    }

    /** Leases expire during an outage of the store, but the running endpoints register again within two seconds. */
    @Test
    fun `an endpoint whose item expired during an outage is kept for two seconds`() {
        write("a", "ready")
        directory.onContactRestored()
        remove("a")
        expectThat(usable()).containsExactly("a")
        timers.advance(2_100)
        expectThat(usable()).isEmpty()
    }

    @Test
    fun `an endpoint that registers again after an outage is kept`() {
        write("a", "ready")
        directory.onContactRestored()
        remove("a")
        timers.advance(1_000)
        write("a", "ready")
        timers.advance(2_000)
        expectThat(usable()).containsExactly("a")
    }

    @Test
    fun `a listing removes endpoints that it does not contain`() {
        write("a", "ready")
        write("b", "ready")
        directory.onListed(listOf(StoreChange("b", 2, "ready".encodeToByteArray())))
        expectThat(usable()).containsExactly("b")
    }

    /** Guards against calls to endpoints that left while the copy was made from which the store was restored. */
    @Test
    fun `an endpoint that was removed before the store was restored is used only if it registers again`() {
        write("a", "ready")
        write("b", "ready")
        remove("a")
        directory.onRestored()
        list("a" to "ready", "b" to "ready")
        expectThat(usable()).containsExactly("b")
        write("a", "ready")
        expectThat(usable().sorted()).containsExactly("a", "b")
    }

    /** Guards against calls to an endpoint that leaves, which the copy shows as it was before. */
    @Test
    fun `an endpoint that was leaving before the store was restored is still leaving`() {
        write("a", "ready")
        write("a", "leaving")
        directory.onRestored()
        list("a" to "ready")
        expectThat(usable()).isEmpty()
    }

    /** Guards against a service without endpoints until those that the copy lacks have registered again. */
    @Test
    fun `an endpoint that the restored store lacks is kept for two seconds`() {
        write("a", "ready")
        directory.onRestored()
        list()
        expectThat(usable()).containsExactly("a")
        timers.advance(2_100)
        expectThat(usable()).isEmpty()
    }

    private fun list(vararg items: Pair<String, String>) =
        directory.onListed(items.map { (key, value) -> StoreChange(key, ++revision, value.encodeToByteArray()) })

    private fun outdatedSince() =
        directory.snapshot.weights
            .getValue(ModelName("m"))
            .outdatedSince(WeightsNumber(1))
            ?.monotonicMillis

    /**
     * Guards against a restarted instance that sends requests to engines with outdated weights for too long.
     *
     * In a benchmark with seed hunt-454d-39 (Agence), a replaced instance sent requests to an engine whose weights had
     * been outdated for 8.1 s.
     */
    @Test
    fun `target weights that an engine already runs at the start count as set long ago`() {
        list("weights" to "2", "a" to "2", "b" to "1")
        expectThat(outdatedSince()).isNotNull().isLessThan(timers.nowMillis() - 60_000)
    }

    /**
     * Guards against rejecting all engines if all instances restart before any engine has loaded the target weights,
     * and against using outdated weights for their whole time once more after each restart.
     */
    @Test
    fun `target weights that no engine runs at the start count as set three seconds ago`() {
        val startMillis = timers.nowMillis()
        list("weights" to "2", "a" to "1", "b" to "1")
        expectThat(outdatedSince()).isEqualTo(startMillis - 3_000)
        timers.advance(1_000)
        list("weights" to "2", "a" to "2", "b" to "1")
        expectThat(outdatedSince()).isEqualTo(startMillis - 3_000)
    }

    /** Counted from the newest target, an engine could stay outdated while targets change in quick succession. */
    @Test
    fun `an engine is outdated since the first target that is newer than its weights`() {
        val start = timers.nowMillis()
        proof.prove(clock.now())
        write("weights", "2")
        timers.advance(3_000)
        proof.prove(clock.now())
        write("weights", "3")
        val target = directory.snapshot.weights.getValue(ModelName("m"))
        expectThat(target.weights).isEqualTo(WeightsNumber(3))
        expectThat(target.outdatedSince(WeightsNumber(1))?.monotonicMillis).isEqualTo(start)
        expectThat(target.outdatedSince(WeightsNumber(2))?.monotonicMillis).isEqualTo(start + 3_000)
        expectThat(target.outdatedSince(WeightsNumber(3))).isEqualTo(null)
    }

    @Test
    fun `blocked parts keep the revision of their item, and only its removal counts as one`() {
        write("blocked", "bad")
        expectThat(directory.snapshot.blockList)
            .isEqualTo(StoredBlockList(setOf(SuspectId("bad")), revision, removals = 0))
        directory.onListed(emptyList())
        expectThat(directory.snapshot.blockList).isEqualTo(StoredBlockList())
        write("blocked", "bad")
        remove("blocked")
        expectThat(directory.snapshot.blockList).isEqualTo(StoredBlockList(removals = 1))
    }

    /** Guards against a write that expects a revision which the item doesn't have. */
    @Test
    fun `served versions keep the revision of their item until the store has lost it`() {
        write("versions", "v1")
        val known = StoredVersions(setOf(ServedVersion(service, SoftwareVersion("v1"))), revision)
        expectThat(directory.snapshot.servedVersions).isEqualTo(known)
        directory.onListed(emptyList())
        expectThat(directory.snapshot.servedVersions).isEqualTo(StoredVersions())
        write("versions", "v1")
        remove("versions")
        expectThat(directory.snapshot.servedVersions).isEqualTo(StoredVersions())
    }
}
