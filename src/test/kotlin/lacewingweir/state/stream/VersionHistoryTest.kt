package lacewingweir.state.stream

import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.SoftwareVersion
import lacewingweir.testing.FLEET_SERVICE
import lacewingweir.testing.engineFleet
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

internal class VersionHistoryTest {
    private val history = VersionHistory(RETENTION)
    private val v1 = SoftwareVersion("v1")
    private val v2 = SoftwareVersion("v2")

    /** Endpoints with the given versions that have just started. */
    private fun endpoints(versions: List<SoftwareVersion?>) =
        versions.mapIndexed { n, version ->
            engineFleet("i-$n", startedAt = UNIX_NOW)
                .endpoints
                .getValue(EndpointId("i-$n"))
                .copy(software = version)
        }

    private fun onlyVersion(nowMillis: Long) = history.onlyVersion(FLEET_SERVICE, nowMillis, UNIX_NOW)

    @Test
    fun `a service has one version only after it was observed for as long as streams last`() {
        history.onEndpoints(endpoints(listOf(v1, v1)), 0)
        expectThat(onlyVersion(RETENTION)).isNull()
        expectThat(onlyVersion(RETENTION + 1)).isEqualTo(v1)
    }

    /** Guards against streams of a version whose last endpoint has left a moment ago. */
    @Test
    fun `a version that has left counts until its streams have ended`() {
        history.onEndpoints(endpoints(listOf(v1, v2)), 0)
        history.onEndpoints(endpoints(listOf(v2)), 100_000)
        expectThat(history.recent(FLEET_SERVICE, 100_000)).isEqualTo(setOf(v1, v2))
        expectThat(onlyVersion(100_000 + RETENTION)).isNull()
        expectThat(onlyVersion(100_001 + RETENTION)).isEqualTo(v2)
    }

    /** Guards against an endpoint that starts again under its id, with another version. */
    @Test
    fun `an endpoint that comes back with another version is another version`() {
        history.onEndpoints(endpoints(listOf(v1)), 0)
        history.onEndpoints(endpoints(listOf(v2)), 50_000)
        expectThat(history.recent(FLEET_SERVICE, 50_001)).isEqualTo(setOf(v1, v2))
    }

    /** Guards against an instance that was cut off while a version came and left. */
    @Test
    fun `a gap in the observation starts it anew`() {
        history.onEndpoints(endpoints(listOf(v1)), 0)
        history.onGap(90_000)
        expectThat(onlyVersion(100_000)).isNull()
        expectThat(onlyVersion(90_001 + RETENTION)).isEqualTo(v1)
    }

    @Test
    fun `an endpoint of unknown version leaves all open`() {
        history.onEndpoints(endpoints(listOf(v1, null)), 0)
        expectThat(onlyVersion(10 * RETENTION)).isNull()
        history.onEndpoints(endpoints(listOf(null)), 0)
        expectThat(onlyVersion(10 * RETENTION)).isNull()
    }

    /** Guards against refusals after all instances have ended at once in quiet times. */
    @Test
    fun `endpoints that have run for long are enough for an instance that has just started`() {
        history.onEndpoints(endpoints(listOf(v1, v1)), 0)
        expectThat(history.onlyVersion(FLEET_SERVICE, 1, UNIX_NOW + RETENTION + 1)).isEqualTo(v1)
        history.onEndpoints(endpoints(listOf(v1, v2)), 0)
        expectThat(history.onlyVersion(FLEET_SERVICE, 1, UNIX_NOW + RETENTION + 1)).isNull()
    }

    private companion object {
        const val RETENTION = 30_000L
        const val UNIX_NOW = 1_780_000_000_000L
    }
}
