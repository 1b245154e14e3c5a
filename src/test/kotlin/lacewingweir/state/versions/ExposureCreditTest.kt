package lacewingweir.state.versions

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isIn

internal class ExposureCreditTest {
    private val credit = ExposureCredit(0.0)

    /** Places a call with a share of 0.05 and returns whether it goes to the target. */
    private fun place() = credit.isDue(SHARE).also { credit.onCall(SHARE, toTarget = it) }

    /** Guards against an overloaded instance whose refused calls raise the share of those that are sent. */
    @Test
    fun `calls that are refused after their placement don't raise the share of the target`() {
        var sentToTarget = 0
        repeat(4_000) { n ->
            val toTarget = place()
            if (n % 4 == 0) {
                if (toTarget) sentToTarget++
            } else {
                credit.onRejected(SHARE, toTarget, wasSent = false)
            }
        }
        expectThat(sentToTarget).isIn(45..51)
    }

    /** Guards against a target that refuses its calls and gets others in their place. */
    @Test
    fun `calls that the target refuses count as sent`() {
        val sent =
            (1..1_000).count {
                val toTarget = place()
                if (toTarget) credit.onRejected(SHARE, toTarget = true, wasSent = true)
                toTarget
            }
        expectThat(sent).isIn(45..51)
    }

    private companion object {
        const val SHARE = 0.05
    }
}
