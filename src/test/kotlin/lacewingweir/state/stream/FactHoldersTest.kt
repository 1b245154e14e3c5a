package lacewingweir.state.stream

import lacewingweir.state.fleet.PeerEntry
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.RequestId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

internal class FactHoldersTest {
    private fun peers(
        count: Int,
        domains: Int,
    ) = List(count) { PeerEntry("instance-$it", "h", 1, FailureDomain("d${it % domains}")) }

    /** Guards against facts that are lost with one failure domain. */
    @Test
    fun `holders are in different failure domains if there are enough`() {
        repeat(100) { n ->
            val holders = factHolders(RequestId("%016x".format(n * 7_919L)), peers(84, domains = 5), 3)
            expectThat(holders.map { it.domain }.toSet()).hasSize(3)
            expectThat(factHolders(RequestId("$n"), peers(6, domains = 2), 3).toSet()).hasSize(3)
        }
    }

    @Test
    fun `all instances choose the same holders, and each instance is chosen about as often`() {
        val peers = peers(84, domains = 5)
        val counts =
            (0 until 2_800)
                .flatMap { n ->
                    val call = RequestId("%016x".format(n * 1_000_003L))
                    val holders = factHolders(call, peers, 3)
                    expectThat(
                        factHolders(call, peers.reversed(), 3).map { it.name },
                    ).isEqualTo(holders.map { it.name })
                    holders
                }.groupingBy { it.name }
                .eachCount()
        expectThat(counts.keys).hasSize(84)
        expectThat(counts.values.min()).isGreaterThan(50)
        expectThat(counts.values.max()).isLessThan(170)
    }
}
