package lacewingweir

import lacewingweir.protocol.bundle.BundleText
import lacewingweir.protocol.json.Validated
import lacewingweir.protocol.settings.Settings
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.EndpointKind
import lacewingweir.state.keys.KeyDirectory
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import java.nio.file.Files
import java.nio.file.Path

internal class ExamplesTest {
    // Guards against examples that the program refuses or that differ in size from the fleets of the existing sites.
    @ParameterizedTest
    @CsvSource("agence, 6, 3, 3, 2", "petra, 13, 4, 4, 3")
    fun `examples are valid and have the sizes of the existing sites`(
        fleet: String,
        engines: Int,
        services: Int,
        failureDomains: Int,
        maxConcurrentLoads: Int,
    ) {
        val directory = Path.of("examples", fleet)
        val settings = Settings.parse(Files.readString(directory.resolve("settings.json"))) { null }
        expectThat(settings).isA<Validated.Valid<Settings>>()
        val checked = BundleText.parse(Files.readString(directory.resolve("bundle.json")))
        expectThat(checked).isA<Validated.Valid<Bundle>>()
        val bundle = (checked as Validated.Valid).value
        expectThat(bundle.customers).hasSize(5)
        expectThat(bundle.endpoints.count { it.kind == EndpointKind.ENGINE }).isEqualTo(engines)
        expectThat(bundle.endpoints.count { it.kind == EndpointKind.SERVICE }).isEqualTo(services)
        expectThat(bundle.endpoints.map { it.failureDomain }.toSet()).hasSize(failureDomains)
        expectThat(bundle.rollout.maxConcurrentLoads).isEqualTo(maxConcurrentLoads)
        val readme = Files.readString(Path.of("examples", "README.md"))
        for (customer in bundle.customers) {
            val key = "example-key-${customer.id}"
            expectThat(customer.keys).contains(KeyDirectory.digestOf(key))
            expectThat(readme).contains("`$key`")
        }
    }
}
