package lacewingweir.platform

import lacewingweir.state.id.SoftwareVersion
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isTrue

/** Plays rollouts of good and bad versions over 8 and 60 instances. */
internal class VersionRolloutFleetTest {
    private fun fail(call: PlayedCall) = PlayedAnswer(failed = call.random.nextDouble() < 0.4)

    private fun rollout(
        count: Int,
        services: List<String> = listOf("s"),
        answer: (String, PlayedCall) -> PlayedAnswer,
    ): VersionRolloutFleet {
        val fleet = VersionRolloutFleet(count, services = services, answer = answer)
        // After this time, versions that appear are held back in case an order names them.
        fleet.play(12.0)
        for (service in services) fleet.addEndpoints(service, "new")
        fleet.play(3.0)
        for (service in services) {
            expectThat(fleet.exposed[service] ?: 0).isEqualTo(0)
            fleet.order(service)
        }
        return fleet
    }

    /** Checks that a bad version was rolled back within its bounds. */
    private fun expectRolledBack(fleet: VersionRolloutFleet) {
        expectThat(fleet.state()).isEqualTo("rolled_back")
        val exposed = fleet.exposed["s"] ?: 0
        println("exposed=$exposed calls=${fleet.calls["s"]} bad=${fleet.badAnswers["s"]}")
        expectThat(exposed.toDouble()).isLessThan(0.1 * checkNotNull(fleet.calls["s"]) + 50)
        fleet.fiftiethBadMillis["s"]?.let {
            expectThat(checkNotNull(fleet.lastExposedMillis["s"])).isLessThan(it + 5_000)
        }
        expectThat(fleet.unservedCalls).isEqualTo(0)
    }

    /** Guards against a version that fails from its first call on and is kept for too long, or completed. */
    @ParameterizedTest
    @ValueSource(ints = [8, 60])
    fun `a version that fails at once is rolled back`(count: Int) {
        val fleet = rollout(count) { _, call -> fail(call) }
        fleet.play(60.0)
        expectRolledBack(fleet)
        expectThat(checkNotNull(fleet.exposed["s"])).isLessThan(150)
    }

    /** Guards against early good answers that outweigh later failures. */
    @ParameterizedTest
    @CsvSource("8,15000", "8,26000", "8,32000", "60,26000")
    fun `a version that fails later is rolled back`(
        count: Int,
        fromMillis: Long,
    ) {
        val fleet = rollout(count) { _, call -> if (call.elapsedMillis > fromMillis) fail(call) else PlayedAnswer() }
        fleet.play(60.0)
        expectRolledBack(fleet)
    }

    /** Guards against steps to a load that shows the fault, without a look at the evidence there. */
    @ParameterizedTest
    @ValueSource(ints = [8, 60])
    fun `a version that fails under load is rolled back`(count: Int) {
        val fleet = rollout(count) { _, call -> if (call.load > 6) fail(call) else PlayedAnswer() }
        fleet.play(60.0)
        expectRolledBack(fleet)
    }

    /** Guards against a route whose failures the good answers of others hide. */
    @ParameterizedTest
    @ValueSource(ints = [8, 60])
    fun `a version that fails on one route is rolled back`(count: Int) {
        val fleet = rollout(count) { _, call -> if (call.route == 1) fail(call) else PlayedAnswer() }
        fleet.play(60.0)
        expectRolledBack(fleet)
    }

    /** Guards against slow answers that count as good because they come in the end. */
    @ParameterizedTest
    @ValueSource(ints = [8, 60])
    fun `a slow version is rolled back`(count: Int) {
        val fleet = rollout(count) { _, call -> PlayedAnswer(millis = if (call.random.nextInt(3) == 0) 700 else 100) }
        fleet.play(60.0)
        expectRolledBack(fleet)
    }

    /** Guards against a version that is compared with its own times. */
    @ParameterizedTest
    @ValueSource(ints = [8, 60])
    fun `a version that is slow on all calls is rolled back`(count: Int) {
        val fleet = rollout(count) { _, _ -> PlayedAnswer(millis = 450) }
        fleet.play(60.0)
        expectRolledBack(fleet)
    }

    /** Guards against a version whose calls time out, which isn't seen from its answers. */
    @ParameterizedTest
    @CsvSource("8,0", "8,15000", "60,0")
    fun `a version whose calls hang is rolled back`(
        count: Int,
        fromMillis: Long,
    ) {
        val fleet =
            rollout(count) { _, call ->
                val hangs = call.elapsedMillis > fromMillis && call.random.nextInt(3) == 0
                PlayedAnswer(millis = if (hangs) 1_500 else 100, hangs = hangs)
            }
        fleet.play(60.0)
        expectRolledBack(fleet)
    }

    /** Guards against calls that the network of an instance cuts off, which would end the rollout of a good version. */
    @ParameterizedTest
    @ValueSource(ints = [8, 60])
    fun `a good version is completed although an instance is cut off from the endpoints`(count: Int) {
        val fleet = rollout(count) { _, _ -> PlayedAnswer() }
        fleet.play(10.0)
        fleet.unreachedBy = setOf("i0")
        fleet.play(15.0)
        fleet.unreachedBy = emptySet()
        fleet.play(34.0) { fleet.state() == "completed" }
        expectThat(fleet.state()).isEqualTo("completed")
    }

    /** Guards against a good version that misses its deadline, and old endpoints that stop with calls. */
    @ParameterizedTest
    @ValueSource(ints = [8, 60])
    fun `a good version is completed in time without calls at old endpoints`(count: Int) {
        val fleet =
            rollout(count) { _, call -> PlayedAnswer(call.random.nextInt(200) == 0, 60 + call.random.nextLong(80)) }
        fleet.play(60.0) { fleet.state() == "completed" }
        expectThat(fleet.state()).isEqualTo("completed")
        expectThat(fleet.runningOld).isEqualTo(0)
        expectThat(fleet.unservedCalls).isEqualTo(0)
        fleet.play(5.0)
        expectThat(fleet.state()).isEqualTo("completed")
    }

    /** Guards against exposure beyond half of the limit while there is no verdict, and rounding up at each instance. */
    @ParameterizedTest
    @ValueSource(ints = [8, 60, 84])
    fun `the first share is at most half of the limit over all instances`(count: Int) {
        for (seconds in listOf(3.0, 24.0)) {
            val fleet = rollout(count) { _, _ -> PlayedAnswer() }
            fleet.play(seconds)
            val exposed = checkNotNull(fleet.exposed["s"])
            println("instances=$count exposed=$exposed calls=${fleet.calls["s"]}")
            expectThat(exposed.toDouble()).isLessThan(0.05 * checkNotNull(fleet.calls["s"]) + 25)
        }
    }

    /** Guards against a rollout that stops when its holder does, and against phases that start again. */
    @ParameterizedTest
    @CsvSource("8,0", "8,200", "8,400", "8,600", "8,1000", "8,2000", "8,28000", "8,45000", "60,0", "60,400", "60,45000")
    fun `another instance goes on after the lease holder was killed`(
        count: Int,
        afterMillis: Int,
    ) {
        val fleet = rollout(count) { _, _ -> PlayedAnswer() }
        fleet.play(afterMillis / 1_000.0)
        fleet.play(10.0) { fleet.instances.any { it.isLeader } }
        fleet.restart(fleet.instances.first { it.isLeader })
        fleet.play(60.0) { fleet.state() == "completed" }
        expectThat(fleet.state()).isEqualTo("completed")
    }

    /** Guards against a bad version that is kept because the only holder is away when all instances are killed. */
    @Test
    fun `a bad version is rolled back after all instances were killed`() {
        val fleet = rollout(8) { _, call -> if (call.elapsedMillis > 10_000) fail(call) else PlayedAnswer() }
        fleet.play(11.0)
        fleet.instances.toList().forEach(fleet::restart)
        fleet.play(50.0)
        expectThat(fleet.state()).isEqualTo("rolled_back")
        expectThat((fleet.exposed["s"] ?: 0).toDouble()).isLessThan(0.1 * checkNotNull(fleet.calls["s"]) + 50)
    }

    /** Guards against steps up without the store, and against a good version that isn't completed after its return. */
    @ParameterizedTest
    @CsvSource("8,1.0", "8,20.0", "8,28.0", "8,34.0", "8,40.0", "8,45.6", "60,28.0", "60,45.6")
    fun `while the store is away nothing steps up, and a good version goes on later`(
        count: Int,
        fromSeconds: Double,
    ) {
        val fleet = rollout(count) { _, _ -> PlayedAnswer() }
        fleet.play(fromSeconds)
        val steps = fleet.store.text(PlatformKeys.VERSION_ROLLOUTS).orEmpty()
        val share = steps.substringAfter("\"share\":", "0").takeWhile { it.isDigit() }.toInt() / 1_000.0
        val calls = checkNotNull(fleet.calls["s"])
        val exposed = fleet.exposed["s"] ?: 0
        fleet.store.away = true
        fleet.play(9.0)
        val newCalls = checkNotNull(fleet.calls["s"]) - calls
        // Instances may apply the last step only after the call was counted, and round up.
        expectThat((fleet.exposed["s"] ?: 0) - exposed).isLessThan((share * newCalls).toInt() + 25)
        fleet.store.away = false
        fleet.play(58.0 - fromSeconds - 9)
        expectThat(fleet.state()).isEqualTo("completed")
    }

    /** Guards against a bad version that gets calls for as long as the rollback can't be written. */
    @ParameterizedTest
    @CsvSource("8,7", "60,7", "8,28", "8,34", "8,40")
    fun `while the store is away each instance stops a bad version`(
        count: Int,
        fromSeconds: Int,
    ) {
        val badMillis = (fromSeconds + 1) * 1_000
        val fleet = rollout(count) { _, call -> if (call.elapsedMillis > badMillis) fail(call) else PlayedAnswer() }
        fleet.play(fromSeconds.toDouble())
        fleet.store.away = true
        fleet.play(30.0)
        expectThat(
            fleet.fiftiethBadMillis["s"]?.let { checkNotNull(fleet.lastExposedMillis["s"]) < it + 5_000 } ?: true,
        ).isTrue()
        val exposed = fleet.exposed["s"]
        fleet.play(10.0)
        expectThat(fleet.exposed["s"]).isEqualTo(exposed)
        fleet.store.away = false
        fleet.play(13.0)
        expectThat(fleet.state()).isEqualTo("rolled_back")
    }

    /** Guards against a target that keeps its share after the operators have changed their order. */
    @ParameterizedTest
    @ValueSource(ints = [8, 60])
    fun `a changed order ends the rollout and starts another`(count: Int) {
        val fleet = rollout(count) { _, _ -> PlayedAnswer() }
        fleet.play(30.0)
        fleet.addEndpoints("s", "newer")
        fleet.order(target = "newer")
        fleet.play(2.0)
        expectThat(fleet.status()).isNotNull().isEqualTo("""{"service":"s","target":"newer","state":"running"}""")
        val exposed = fleet.exposed["s"]
        fleet.play(56.0)
        expectThat(fleet.exposed["s"]).isEqualTo(exposed)
        expectThat(fleet.state()).isEqualTo("completed")
    }

    @Test
    fun `a withdrawn order ends the rollout`() {
        val fleet = rollout(8) { _, _ -> PlayedAnswer() }
        fleet.play(30.0)
        fleet.withdraw()
        fleet.play(2.0)
        val exposed = fleet.exposed["s"]
        fleet.play(10.0)
        expectThat(fleet.state()).isEqualTo("rolled_back")
        expectThat(fleet.exposed["s"]).isEqualTo(exposed)
    }

    /** Guards against a store restored from an older copy that takes back a rollback of the same order. */
    @Test
    fun `a rollback is kept when an older copy of the store comes back`() {
        val fleet = rollout(8) { _, call -> fail(call) }
        fleet.play(1.0)
        val copy = fleet.store.copy()
        fleet.play(20.0)
        expectThat(fleet.state()).isEqualTo("rolled_back")
        val exposed = fleet.exposed["s"]
        fleet.store.restore(copy)
        expectThat(fleet.state()).isNotEqualTo("rolled_back")
        fleet.play(20.0)
        expectThat(fleet.state()).isEqualTo("rolled_back")
        expectThat(fleet.exposed["s"]).isEqualTo(exposed)
    }

    /** Guards against a store restored from an older copy whose order was replaced since, also at a new instance. */
    @ParameterizedTest
    @ValueSource(doubles = [3.0, 40.0, 70.0])
    fun `an earlier order of an older copy never reverts a later one`(orderedAfterSeconds: Double) {
        val fleet = rollout(8) { _, _ -> PlayedAnswer() }
        fleet.play(orderedAfterSeconds)
        val copy = fleet.store.copy()
        fleet.addEndpoints("s", "newer")
        fleet.order(target = "newer")
        fleet.play(5.0)
        fleet.store.restore(copy)
        fleet.addEndpoints("s", "newer")
        val exposed = fleet.exposed["s"]
        fleet.play(15.0)
        expectThat(fleet.status()).isEqualTo("""{"service":"s","target":"newer","state":"running"}""")
        val (holders, others) = fleet.instances.partition { it.isLeader }
        (holders + others.first()).forEach(fleet::restart)
        fleet.play(60.0)
        expectThat(fleet.status()).isEqualTo("""{"service":"s","target":"newer","state":"completed"}""")
        if (orderedAfterSeconds < 60) expectThat(fleet.exposed["s"]).isEqualTo(exposed)
    }

    /** Guards against a version that nothing is known of yet and gets all calls because no other one is left. */
    @Test
    fun `the target's share stays bounded while all old endpoints are gone`() {
        val fleet = rollout(8) { _, _ -> PlayedAnswer() }
        fleet.play(10.0)
        fleet.removeEndpoints("s", "old")
        fleet.play(2.0)
        val before = checkNotNull(fleet.exposed["s"])
        fleet.play(5.0)
        expectThat(checkNotNull(fleet.exposed["s"])).isLessThan(before + 80)
    }

    /** Guards against a target that was stopped and gets calls because no other version is left. */
    @Test
    fun `a bad version gets no calls after its rollback, also if all old endpoints are gone`() {
        val fleet = rollout(8) { _, call -> fail(call) }
        fleet.play(20.0)
        expectThat(fleet.state()).isEqualTo("rolled_back")
        val exposed = fleet.exposed["s"]
        fleet.removeEndpoints("s", "old")
        fleet.play(15.0)
        expectThat(fleet.exposed["s"]).isEqualTo(exposed)
    }

    /** Guards against reports of an earlier state, and of a share that an instance no longer sends to the target. */
    @Test
    fun `an instance reports phase, share, age and evidence of a rollout`() {
        val fleet = rollout(8) { _, call -> if (call.elapsedMillis > 20_000) fail(call) else PlayedAnswer() }
        fleet.play(15.0)
        fleet.store.away = true

        fun figures() =
            fleet.instances
                .first()
                .rollouts
                .figures()
                .single()
        expectThat(figures().toString()).contains("phase=CANARY share=0.050").contains("stoppedHere=false target=[0/")
        expectThat(figures().ageMillis).isGreaterThan(13_000).isLessThan(15_001)
        fleet.play(20.0)
        expectThat(figures().toString()).contains("share=0.000").contains("stoppedHere=true")
    }

    /** Guards against a holder that decides on the answers and the running calls of only a few instances. */
    @ParameterizedTest
    @ValueSource(ints = [1, 3])
    fun `a holder without digests from its peers leaves the rollout to them`(count: Int) {
        val fleet = rollout(8) { _, _ -> PlayedAnswer() }
        fleet.play(20.0) { fleet.instances.any { it.isLeader } }
        val holder = fleet.instances.first { it.isLeader }
        val others = fleet.instances.filterNot { it === holder }.take(count - 1)
        fleet.cutOff = (others + holder).mapTo(HashSet()) { it.name }
        fleet.play(6.0)
        expectThat(fleet.instances.single { it.isLeader }.name in fleet.cutOff).isEqualTo(false)
        fleet.play(45.0) { fleet.state() == "completed" }
        expectThat(fleet.state()).isEqualTo("completed")
    }

    /** Guards against decisions on own counts alone while no instance hears its peers. */
    @Test
    fun `without any digests no phase changes`() {
        val fleet = rollout(8) { _, _ -> PlayedAnswer() }
        fleet.play(20.0)
        fleet.instances.forEach { it.isDeaf = true }
        fleet.play(30.0)
        expectThat(fleet.store.text(PlatformKeys.VERSION_ROLLOUTS)).isNotNull().contains("CANARY")
        fleet.instances.forEach { it.isDeaf = false }
        fleet.play(9.0) { fleet.state() == "completed" }
        expectThat(fleet.state()).isEqualTo("completed")
    }

    /** Guards against a rollout that stands still because its items can't be read, and so can't be replaced. */
    @Test
    fun `items that can't be read are written again`() {
        val fleet = rollout(8) { _, _ -> PlayedAnswer() }
        val keys = listOf(PlatformKeys.VERSION_ROLLOUTS, PlatformKeys.ROLLOUT_STATUS_PREFIX + "s")

        fun spoil() = keys.forEach { fleet.store.put(it, "{".encodeToByteArray()) }

        for (seconds in listOf(0.1, 20.0, 38.0)) {
            spoil()
            fleet.play(seconds)
        }
        expectThat(fleet.state()).isEqualTo("completed")
        spoil()
        fleet.play(10.0)
        expectThat(fleet.state()).isEqualTo("completed")
        expectThat(fleet.store.text(PlatformKeys.VERSION_ROLLOUTS)).isNotNull().contains("COMPLETED")
    }

    /** Guards against evidence or shares of one service that count for another. */
    @Test
    fun `of two services at once, only the bad version is rolled back`() {
        val fleet = rollout(8, listOf("s", "t")) { service, call -> if (service == "s") fail(call) else PlayedAnswer() }
        fleet.play(60.0)
        expectRolledBack(fleet)
        expectThat(fleet.state("t")).isEqualTo("completed")
    }

    /** Guards against refusing versions that operators run side by side without an order. */
    @Test
    fun `a version without an order serves, also after a restart of all instances`() {
        val fleet = VersionRolloutFleet(8)
        fleet.play(20.0)
        fleet.addEndpoints("s", "new")
        fleet.play(8.0)
        val before = fleet.exposed["s"] ?: 0
        expectThat(before).isGreaterThan(0)
        fleet.instances.toList().forEach(fleet::restart)
        fleet.play(15.0)
        expectThat(fleet.exposed["s"] ?: 0).isGreaterThan(before)
        expectThat(fleet.unservedCalls).isEqualTo(0)
    }

    /** Guards against commits whose responses are lost, after which steps would be skipped or repeated. */
    @Test
    fun `lost responses of the store don't disturb a rollout`() {
        val fleet = rollout(8) { _, _ -> PlayedAnswer() }
        fleet.play(60.0) {
            fleet.store.losesResponses = fleet.random.nextInt(3) == 0
            fleet.state() == "completed"
        }
        expectThat(fleet.state()).isEqualTo("completed")
    }

    /** Guards against a resumed stream that goes on at a target after its rollback. */
    @Test
    fun `a stream goes on at the target only until the rollback`() {
        val fleet = rollout(8) { _, call -> fail(call) }
        val instance = fleet.instances.first()

        fun acceptsTarget(): Boolean {
            val target =
                instance.snapshot.endpoints.values
                    .first { it.software == SoftwareVersion("new") }
            return instance.rollouts.rules.accepting(target.service, true)(target)
        }
        fleet.play(5.0) {
            fleet.state() == "running" &&
                instance.snapshot.rollouts.steps
                    .isNotEmpty()
        }
        expectThat(acceptsTarget()).isTrue()
        fleet.play(30.0)
        expectThat(fleet.state()).isEqualTo("rolled_back")
        expectThat(acceptsTarget()).isEqualTo(false)
        expectThat(fleet.store.commits).isGreaterThan(0)
    }
}
