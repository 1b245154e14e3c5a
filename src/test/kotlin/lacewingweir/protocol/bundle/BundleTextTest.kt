package lacewingweir.protocol.bundle

import lacewingweir.protocol.json.JsonMutator
import lacewingweir.protocol.json.Validated
import lacewingweir.state.bundle.Bundle
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import kotlin.random.Random

internal class BundleTextTest {
    private val digest = "a".repeat(64)
    private val valid =
        """
        {"number": 7,
         "customers": [{"id": "c1", "tokensPerSecond": 100, "burstTokens": 5000, "keys": ["$digest"]},
                       {"id": "c2", "tokensPerSecond": 100, "burstTokens": 5000}],
         "models": [{"name": "m1", "weights": "w1"}],
         "endpoints": [
          {"id": "e1", "kind": "engine", "host": "10.0.0.1", "port": 80, "failureDomain": "d1", "models": ["m1"]},
          {"id": "s1", "kind": "service", "host": "fd00::1", "port": 80, "failureDomain": "d1"}],
         "routes": [{"id": "tags", "trafficClass": "interactive", "model": "m1"},
                    {"id": "lots", "trafficClass": "batch", "path": "lots/find", "services": ["s1"], "open": true}]}
        """.trimIndent()

    private fun errorPaths(text: String): List<String> =
        when (val result = BundleText.parse(text)) {
            is Validated.Valid -> emptyList()
            is Validated.Invalid -> result.errors.map { it.path }
        }

    @Test
    fun `parsing the canonical text of a bundle returns the same bundle`() {
        val bundle = (BundleText.parse(valid) as Validated.Valid<Bundle>).value
        val text = BundleText.canonical(bundle)
        expectThat(BundleText.parse(text)).isEqualTo(Validated.Valid(bundle))
        expectThat(BundleText.canonical((BundleText.parse(text) as Validated.Valid).value)).isEqualTo(text)
    }

    // Each row violates one rule of the format. An invalid bundle of an operator must not reach the fleet.
    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        quoteCharacter = '`',
        value = [
            "\"number\": 7 | \"number\": 0 | number",
            "\"number\": 7 | \"number\": \"7\" | number",
            "\"number\": 7, | `` | number",
            "\"number\": 7 | \"numbr\": 7 | numbr",
            "\"tokensPerSecond\": 100, \"burstTokens\": 5000, | \"tokensPerSecond\": 0, \"burstTokens\": 5000, " +
                "| customers[0].tokensPerSecond",
            "\"burstTokens\": 5000, | \"burstTokens\": 1024, | customers[0].burstTokens",
            "\"c2\" | \"c1\" | customers[1].id",
            "\"c2\" | \"c 2\" | customers[1].id",
            "aaaa\"] | AAAA\"] | customers[0].keys[0]",
            "\"burstTokens\": 5000} | \"burstTokens\": 5000, \"weight\": 0} | customers[1].weight",
            "\"burstTokens\": 5000} | \"burstTokens\": 5000, \"keys\": 3} | customers[1].keys",
            "\"weights\": \"w1\" | \"weights\": \"\" | models[0].weights",
            "\"weights\": \"w1\" | \"weights\": \"w1\", \"bytesPerToken\": 0 | models[0].bytesPerToken",
            "\"weights\": \"w1\" | \"weights\": \"w1\", \"adapters\": [\"a\", \"a\"] | models[0].adapters[1]",
            "[{\"name\": \"m1\" | [{\"name\": \"m2\", \"weights\": \"w\"}, {\"name\": \"m1\" | models[0].name",
            "\"10.0.0.1\" | \"engine.example\" | endpoints[0].host",
            "\"fd00::1\" | \"[fd00::1]\" | endpoints[1].host",
            "\"fd00::1\" | \"10.0.0.1\" | endpoints[1].port",
            "\"port\": 80, | \"port\": 65536, | endpoints[0].port",
            "\"kind\": \"engine\" | \"kind\": \"gpu\" | endpoints[0].kind",
            "\"s1\", \"kind\" | \"e1\", \"kind\" | endpoints[1].id",
            "\"models\": [\"m1\"] | \"models\": [\"m1\", \"m9\"] | endpoints[0].models[1]",
            "\"models\": [\"m1\"] | \"models\": [] | endpoints[0].models",
            "\"failureDomain\": \"d1\"} | \"failureDomain\": \"d1\", \"models\": [\"m1\"]} | endpoints[1].models",
            "\"failureDomain\": \"d1\"} | \"failureDomain\": \"d1\", \"checksFencing\": 1} " +
                "| endpoints[1].checksFencing",
            "\"model\": \"m1\" | \"model\": \"m3\" | routes[0].model",
            "\"model\": \"m1\" | \"model\": \"m1\", \"services\": [\"s1\"] | routes[0].services",
            "\"model\": \"m1\" | \"model\": \"m1\", \"open\": true | routes[0].open",
            "\"model\": \"m1\" | \"model\": \"m1\", \"repeatable\": false | routes[0].repeatable",
            "\"model\": \"m1\" | \"model\": \"m1\", \"path\": \"x\" | routes[0].path",
            ", \"model\": \"m1\"}, | , \"deadlineMillis\": 0, \"model\": \"m1\"}, | routes[0].deadlineMillis",
            "\"trafficClass\": \"batch\" | \"trafficClass\": \"bulk\" | routes[1].trafficClass",
            "\"services\": [\"s1\"] | \"services\": [\"e1\"] | routes[1].services[0]",
            "\"services\": [\"s1\"] | \"services\": [\"nobody\"] | routes[1].services[0]",
            "\"services\": [\"s1\"], | `` | routes[1].services",
            "\"path\": \"lots/find\", | `` | routes[1].path",
            "lots/find | lots/../find | routes[1].path",
            "\"id\": \"lots\" | \"id\": \"tags\" | routes[1].id",
            "\"open\": true}] | \"open\": true}], \"rollout\": {\"maxConcurrentLoads\": 0} " +
                "| rollout.maxConcurrentLoads",
            "\"open\": true | \"claimOutage\": \"maybe\" | routes[1].claimOutage",
        ],
    )
    fun `a violated rule is reported with its path`(
        original: String,
        replacement: String?,
        path: String,
    ) {
        val text = valid.replaceFirst(original, replacement.orEmpty())
        expectThat(text).not().isEqualTo(valid)
        expectThat(errorPaths(text)).contains(path)
    }

    @Test
    fun `all errors are reported at once with the found and the allowed values`() {
        val text =
            valid
                .replace("\"number\": 7", "\"number\": -1")
                .replace("\"c2\"", "\"c1\"")
                .replace("10.0.0.1", "localhost")
                .replace("\"model\": \"m1\"", "\"model\": \"m3\"")
        val result = BundleText.parse(text) as Validated.Invalid
        expectThat(result.errors.map { it.path })
            .containsExactlyInAnyOrder("number", "customers[1].id", "endpoints[0].host", "routes[0].model")
        expectThat(result.errors.first { it.path == "routes[0].model" }.toString())
            .isEqualTo("routes[0].model: found \"m3\", allowed: one of m1")
    }

    // An invalid document must be rejected. An exception of the parser could stop the program.
    @Test
    fun `random documents give errors and never an exception`() {
        val seed = System.nanoTime()
        println("BundleTextTest seed $seed")
        val mutator = JsonMutator(Random(seed))
        val invalidCount = (1..3_000).map { BundleText.parse(mutator.mutate(valid)) }.count { it is Validated.Invalid }
        expectThat(invalidCount).isGreaterThan(1_000)
        for (text in listOf("", "null", "[]", "{", "\"x\"", "[".repeat(20_000), "{}")) {
            expectThat(BundleText.parse(text)).isA<Validated.Invalid>()
        }
    }
}
