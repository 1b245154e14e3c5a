package lacewingweir.platform

import lacewingweir.coordination.fleet.FleetUpdate
import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.SoftwareVersion
import lacewingweir.state.versions.OrderId
import lacewingweir.state.versions.RolloutOrder
import lacewingweir.state.versions.RolloutPhase
import lacewingweir.state.versions.RolloutStep
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo

internal class VersionRolloutCodecTest {
    private val service = ServiceName("s")
    private val target = SoftwareVersion("v2")

    private fun order(json: String) = PlatformItemCodec.decode("op/rollout/s", json.encodeToByteArray())

    @Test
    fun `an order is decoded`() {
        expectThat(order("""{"service":"s","target":"v2","durationS":1.5}"""))
            .isEqualTo(FleetUpdate.VersionOrder(RolloutOrder(service, target, 1_500)))
    }

    /** Guards against deadlines that overflow, divisions by zero, and orders that apply to another service. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            """{"service":"t","target":"v2","durationS":60}""",
            """{"service":"s","target":"v2","durationS":0}""",
            """{"service":"s","target":"v2","durationS":-1}""",
            """{"service":"s","target":"v2","durationS":1e300}""",
            """{"service":"s","target":"v2"}""",
            """{"service":"s","durationS":60}""",
        ],
    )
    fun `a malformed order is unreadable`(json: String) {
        expectThat(order(json)).isA<FleetUpdate.Unreadable>()
    }

    /** Guards against a new lease holder that goes on from other steps than the last one has written. */
    @ParameterizedTest
    @ValueSource(ints = [0, 1, 2, 3, 4, 5, 6])
    fun `steps are read as they were written`(phase: Int) {
        val old = SoftwareVersion("v1")
        val earlier = listOf(OrderId(3, old, 60_000))
        val step = RolloutStep(service, target, 7, setOf(old), 1, 9, RolloutPhase.entries[phase], 3, 50, earlier)
        val allowed = mapOf(ServiceName("t") to setOf(target))
        val item = VersionRolloutCodec.encodeSteps(listOf(step), allowed)
        expectThat(PlatformItemCodec.decode("lacewingweir/version-rollouts", item))
            .isEqualTo(FleetUpdate.VersionSteps(listOf(step), allowed))
    }

    @Test
    fun `statuses have the states that the operators know`() {
        val states = RolloutPhase.entries.map { VersionRolloutCodec.stateOf(it) }
        expectThat(states).isEqualTo(List(5) { "running" } + listOf("completed", "rolled_back"))
    }
}
