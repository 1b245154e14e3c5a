package lacewingweir.coordination.reach

import lacewingweir.coordination.gossip.EndpointLoad
import lacewingweir.coordination.gossip.InstanceDigest
import lacewingweir.state.fleet.PeerEntry
import lacewingweir.state.id.EndpointTag
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.ServiceName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Guards against calls that are passed on to an instance that can't serve them, or has far more to do than others. */
internal class PassTargetsTest {
    private val service = ServiceName("s")
    private val digests = ArrayList<InstanceDigest>()
    private val targets =
        PassTargets(FailureDomain("z1"), { listOf(peer("a", "z1"), peer("b", "z2"), peer("c", "z1")) }, { digests })

    private fun peer(
        name: String,
        domain: String,
    ) = PeerEntry(name, "127.0.0.1", 1, FailureDomain(domain))

    private fun hear(
        name: String,
        running: Int = 0,
        unreachable: List<String> = emptyList(),
    ) {
        digests +=
            InstanceDigest(
                instance = name,
                run = 1,
                number = 1,
                intervalMillis = 250,
                admittedTokens = emptyMap(),
                loads = listOf(EndpointLoad(EndpointTag(1), running, 0, 0)),
                weights = emptyList(),
                unreachable = unreachable,
            )
    }

    private fun chosen(excluded: Set<String> = emptySet()) = targets.choose(service, excluded)?.name

    @Test
    fun `no call is passed on to an instance that isn't heard or doesn't reach the service either`() {
        hear("a", unreachable = listOf("s"))
        expectThat(chosen()).isNull()
        hear("b")
        expectThat(chosen()).isEqualTo("b")
        expectThat(chosen(setOf("b"))).isNull()
    }

    @Test
    fun `an instance in the same failure domain is preferred unless it has far more to do`() {
        hear("a", running = 1)
        hear("b")
        expectThat((1..20).map { chosen() }.toSet()).isEqualTo(setOf("a"))
        digests.clear()
        hear("a", running = 20)
        hear("b")
        expectThat((1..20).map { chosen() }.toSet()).isEqualTo(setOf("b"))
    }

    @Test
    fun `calls that are being passed on count as load`() {
        hear("a")
        hear("c")
        val first = checkNotNull(targets.choose(service, emptySet()))
        repeat(3) { targets.onBegin(first) }
        expectThat((1..20).map { chosen() }.toSet().contains(first.name)).isEqualTo(false)
        repeat(3) { targets.onEnd(first) }
        expectThat((1..50).map { chosen() }.toSet()).isEqualTo(setOf("a", "c"))
    }
}
