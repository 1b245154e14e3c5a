package lacewingweir.protocol.settings

import lacewingweir.protocol.json.JsonMutator
import lacewingweir.protocol.json.Validated
import lacewingweir.state.bundle.Ed25519
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

internal class SettingsTest {
    private val publicKey = Ed25519.newKeyPair().publicKey
    private val valid =
        """
        {"name": "lg-1", "failureDomain": "liege",
         "callerListen": "127.0.0.1:8080", "operatorListen": "127.0.0.1:8081", "peerListen": "[::1]:8082",
         "peerSeeds": ["127.0.0.2:8082"], "storeAddresses": ["127.0.0.1:2379"],
         "fleetSecret": {"inline": "0123456789abcdef"}, "bundleSigners": {"alice": "$publicKey"},
         "limits": {"keyFreshnessMillis": 2500}, "http": {"maxBodyBytes": 2048},
         "shutdown": {"drainMillis": 10}, "logLevel": "DEBUG", "traceEndpoint": "http://127.0.0.1:4318/v1/traces"}
        """.trimIndent()

    private fun parse(text: String): Validated<Settings> =
        Settings.parse(text) { if (it == "/run/secret") "fedcba9876543210\n" else null }

    private fun errorPaths(text: String): List<String> = (parse(text) as Validated.Invalid).errors.map { it.path }

    @Test
    fun `valid settings are parsed and defaults are applied`() {
        val settings = (parse(valid) as Validated.Valid).value
        expectThat(settings.peerListen).isEqualTo(HostPort("::1", 8082))
        expectThat(settings.peerListen.toString()).isEqualTo("[::1]:8082")
        expectThat(settings.limits).isEqualTo(ContactProofLimits(2_500, 5_000))
        expectThat(settings.logLevel).isEqualTo(LogLevel.DEBUG)
        expectThat(settings.toString()).not().contains("0123456789abcdef")
    }

    @Test
    fun `the secret is read from a file`() {
        val text = valid.replace("\"inline\": \"0123456789abcdef\"", "\"file\": \"/run/secret\"")
        expectThat((parse(text) as Validated.Valid).value.fleetSecret).isEqualTo(FleetSecret("fedcba9876543210"))
    }

    // Each row violates one rule. An instance must not start with other settings than its operator intended.
    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        quoteCharacter = '`',
        value = [
            "\"name\": \"lg-1\" | \"name\": \"\" | name",
            "\"name\": \"lg-1\" | \"nam\": \"lg-1\" | nam",
            "\"name\": \"lg-1\" | \"nam\": \"lg-1\" | name",
            "\"liege\" | null | failureDomain",
            "127.0.0.1:8080 | localhost:8080 | callerListen",
            "127.0.0.1:8080 | 127.0.0.1 | callerListen",
            "127.0.0.1:8081 | 127.0.0.1:8080 | operatorListen",
            "[::1]:8082 | ::1:8082 | peerListen",
            "[::1]:8082 | [::1]:70000 | peerListen",
            "[\"127.0.0.2:8082\"] | [\"127.0.0.2:8082\", \"127.0.0.2:8082\"] | peerSeeds[1]",
            "[\"127.0.0.2:8082\"] | {} | peerSeeds",
            "[\"127.0.0.1:2379\"] | [] | storeAddresses",
            "0123456789abcdef | short | fleetSecret.inline",
            "{\"inline\": \"0123456789abcdef\"} | {} | fleetSecret",
            "{\"inline\": \"0123456789abcdef\"} | 5 | fleetSecret",
            "{\"inline\" | {\"file\": \"/run/secret\", \"inline\" | fleetSecret.inline",
            "{\"inline\": \"0123456789abcdef\"} | {\"file\": \"/missing\"} | fleetSecret.file",
            "\"alice\": \" | \"alice\": \"AAAA | bundleSigners.alice",
            "\"alice\" | \"a b\" | bundleSigners.a b",
            "2500 | 100 | limits.keyFreshnessMillis",
            "keyFreshnessMillis\": 2500 | authorityMillis\": 1.5 | limits.authorityMillis",
            "2048 | 0 | http.maxBodyBytes",
            "maxBodyBytes | maxBody | http.maxBody",
            "\"drainMillis\": 10 | \"balancerMillis\": -1 | shutdown.balancerMillis",
            "\"DEBUG\" | \"debug\" | logLevel",
            "http://127.0.0.1:4318/v1/traces | 127.0.0.1:4318 | traceEndpoint",
        ],
    )
    fun `a violated rule is reported with its path`(
        original: String,
        replacement: String,
        path: String,
    ) {
        val text = valid.replaceFirst(original, replacement)
        expectThat(text).not().isEqualTo(valid)
        expectThat(errorPaths(text)).contains(path)
    }

    @Test
    fun `all errors are reported at once`() {
        val text = valid.replace("lg-1", "").replace("127.0.0.1:2379", "store:1").replace("DEBUG", "LOUD")
        expectThat(errorPaths(text)).containsExactlyInAnyOrder("name", "storeAddresses[0]", "logLevel")
    }

    @Test
    fun `an error does not contain a rejected secret`() {
        val text = valid.replace("0123456789abcdef", "hunter2")
        expectThat((parse(text) as Validated.Invalid).errors.toString()).not().contains("hunter2")
    }

    // An invalid document must be rejected. An exception of the parser could stop the program.
    @Test
    fun `random documents give errors and never an exception`() {
        val seed = System.nanoTime()
        println("SettingsTest seed $seed")
        val mutator = JsonMutator(Random(seed))
        val invalidCount = (1..3_000).map { parse(mutator.mutate(valid)) }.count { it is Validated.Invalid }
        expectThat(invalidCount).isGreaterThan(1_000)
        expectThat(parse("[1,2")).isA<Validated.Invalid>()
    }
}
