package lacewingweir.cli.rehearse

import lacewingweir.testing.ProgramProcess
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo

internal class RehearseCommandTest {
    /** Guards against an archive that lacks the classes of a call, since the rehearsal has served none. */
    @Test
    fun `the rehearsal serves all its calls and ends by itself`() {
        ProgramProcess.start("rehearse", "rehearse").use { process ->
            expectThat(process.awaitExit(timeoutSeconds = 60)).isEqualTo(0)
            expectThat(process.log.readText()).contains("30 of 30 calls answered")
        }
    }
}
