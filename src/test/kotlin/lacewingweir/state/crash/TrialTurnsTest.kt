package lacewingweir.state.crash

import lacewingweir.state.id.RequestFingerprint
import lacewingweir.state.id.SuspectId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

internal class TrialTurnsTest {
    private val request = SuspectId.of(RequestFingerprint("request"))
    private val other = SuspectId.of(RequestFingerprint("other"))
    private val first = TrialTurns("instance-1")
    private val second = TrialTurns("instance-2")

    /** Guards against two suspected requests that run at the same endpoint, so that its crash proves nothing. */
    @Test
    fun `an instance tries out one request at a time`() {
        expectThat(first.claim(request, 0)).isTrue()
        expectThat(first.claim(other, 0)).isFalse()
        first.release(10)
        expectThat(first.claim(other, 10)).isTrue()
    }

    @Test
    fun `a turn that a peer has claimed is taken`() {
        second.onPeer("instance-1", claims = true, nowMillis = 0)
        expectThat(second.claim(other, 10)).isFalse()
        second.onPeer("instance-1", claims = false, nowMillis = 20)
        expectThat(second.claim(other, 20)).isTrue()
    }

    @Test
    fun `of two instances that claim the turn at the same time one has it`() {
        first.claim(request, 0)
        second.claim(request, 0)
        first.onPeer("instance-2", claims = true, nowMillis = 5)
        second.onPeer("instance-1", claims = true, nowMillis = 5)
        expectThat(listOf(first, second).count { it.hasPrecedence(100) }).isEqualTo(1)
    }

    /** Guards against requests that are never tried out again because an instance ended during its trial. */
    @Test
    fun `a claim of an instance that has ended expires`() {
        second.onPeer("instance-1", claims = true, nowMillis = 0)
        expectThat(second.claim(request, TrialTurns.VALIDITY_MILLIS - 1)).isFalse()
        expectThat(second.claim(request, TrialTurns.VALIDITY_MILLIS)).isTrue()
    }
}
