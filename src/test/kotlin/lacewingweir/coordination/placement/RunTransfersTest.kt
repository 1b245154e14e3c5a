package lacewingweir.coordination.placement

import lacewingweir.coordination.gossip.TransferReport
import lacewingweir.state.id.EndpointTag
import lacewingweir.state.time.MonotonicClock
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

internal class RunTransfersTest {
    private var nowMillis = 1_000L
    private var changes = 0
    private val transfers = RunTransfers("a", MonotonicClock { nowMillis }, firstNumber = 100) { changes++ }
    private val source = EndpointTag(1)
    private val target = EndpointTag(2)

    @Test
    fun `a transfer includes both engines until it ends`() {
        val first = transfers.begin(source, target)
        val second = transfers.begin(source, EndpointTag(3))
        first.end()
        first.end()
        expectThat(transfers.includes(source)).isTrue()
        expectThat(transfers.includes(target)).isFalse()
        second.end()
        expectThat(transfers.includes(source)).isFalse()
        expectThat(changes).isEqualTo(4)
    }

    /** Guards against datagrams to all peers for each of many runs that leave an engine. */
    @Test
    fun `a report is due only if its engines have changed`() {
        val first = transfers.begin(source, target)
        val second = transfers.begin(source, target)
        second.renew()
        first.end()
        expectThat(changes).isEqualTo(1)
        second.end()
        expectThat(changes).isEqualTo(2)
    }

    @Test
    fun `peers are told of the end of a transfer for as long as they would believe in it`() {
        nowMillis += RunTransfers.VALIDITY_MILLIS
        expectThat(transfers.reportIfAny()).isNull()
        transfers.begin(source, target)
        expectThat(transfers.reportIfAny()?.engines?.toSet()).isEqualTo(setOf(source, target))
        nowMillis += RunTransfers.VALIDITY_MILLIS
        expectThat(transfers.reportIfAny()?.engines).isEqualTo(emptyList())
        nowMillis += RunTransfers.VALIDITY_MILLIS
        expectThat(transfers.reportIfAny()).isNull()
    }

    /** Guards against loads that wait forever for a run whose instance hangs. */
    @Test
    fun `a transfer lasts for a limited time after it was renewed`() {
        val transfer = transfers.begin(source, target)
        nowMillis += RunTransfers.VALIDITY_MILLIS - 1
        transfer.renew()
        nowMillis += RunTransfers.VALIDITY_MILLIS - 1
        expectThat(transfers.includes(target)).isTrue()
        nowMillis++
        expectThat(transfers.includes(target)).isFalse()
    }

    /** Guards against a digest that was created before a report, but arrives after it. */
    @Test
    fun `an older report of a peer does not replace a later one`() {
        transfers.onReport(TransferReport("b", number = 8, engines = listOf(source, target)))
        transfers.onReport(TransferReport("b", number = 7, engines = emptyList()))
        expectThat(transfers.includes(target)).isTrue()
        transfers.onReport(TransferReport("b", number = 9, engines = listOf(source)))
        expectThat(transfers.includes(target)).isFalse()
        expectThat(transfers.includes(source)).isTrue()
        nowMillis += RunTransfers.VALIDITY_MILLIS
        expectThat(transfers.includes(source)).isFalse()
    }

    @Test
    fun `the report of an instance that has restarted replaces that of its earlier run`() {
        val peer = RunTransfers("b", MonotonicClock { nowMillis }, firstNumber = 5_000)
        peer.begin(source, target)
        transfers.onReport(peer.report())
        val restarted = RunTransfers("b", MonotonicClock { nowMillis }, firstNumber = 9_000)
        transfers.onReport(restarted.report())
        expectThat(transfers.includes(target)).isFalse()
    }
}
