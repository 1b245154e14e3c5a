package lacewingweir.platform

import lacewingweir.coordination.fleet.FleetUpdate
import lacewingweir.state.fleet.RequestKind
import lacewingweir.state.fleet.TargetMoment
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.KeyDigest
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.PartId
import lacewingweir.state.id.RequestFingerprint
import lacewingweir.state.id.RequestId
import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.SoftwareVersion
import lacewingweir.state.id.StreamTag
import lacewingweir.state.id.SuspectId
import lacewingweir.state.id.WeightsNumber
import lacewingweir.state.stream.ServedVersion
import lacewingweir.state.stream.StreamOrigin
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue

internal class PlatformItemCodecTest {
    private fun decode(
        key: String,
        json: String,
    ) = PlatformItemCodec.decode(key, json.encodeToByteArray())

    private val endpointItem =
        """{"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v7","slots":48,"state":"ready","coldLeftMs":0,
        "models":[{"name":"m","version":3,"adapters":[]}],"sequence":4,"born":1700000000000}"""

    @Test
    fun `an endpoint item is decoded with its weights, start time and software version`() {
        expectThat(decode("servers/i-1", endpointItem)).isA<FleetUpdate.Endpoint>().get { entry }.and {
            get { id }.isEqualTo(EndpointId("i-1"))
            get { service }.isEqualTo(ServiceName("s"))
            get { port }.isEqualTo(8080)
            get { domain }.isEqualTo(FailureDomain("z"))
            get { leaving }.isFalse()
            get { startedAtUnixMillis }.isEqualTo(1_700_000_000_000)
            get { weights }.isEqualTo(mapOf(ModelName("m") to WeightsNumber(3)))
            get { software }.isEqualTo(SoftwareVersion("v7"))
        }
        expectThat(decode("servers/i-1", endpointItem.replace("\"v7\"", "7")))
            .isA<FleetUpdate.Endpoint>()
            .get { entry.software }
            .isNull()
        expectThat(decode("servers/i-1", endpointItem.replace("ready", "draining")))
            .isA<FleetUpdate.Endpoint>()
            .get {
                entry.leaving
            }.isTrue()
    }

    /** Guards against a configuration that is applied without the routes or customers that couldn't be read. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            """{"version":3,"routes":[],"services":[],"tenants":"none"}""",
            """{"version":3,"routes":[],"services":[],"tenants":{"name":"acme","apiKeys":["k"]}}""",
            """{"version":3,"routes":[],"services":[],"tenants":["acme"]}""",
            """{"version":3,"routes":[],"services":[],"tenants":[{"name":"acme","apiKeys":[7]}]}""",
            """{"version":3,"routes":["r"],"services":[],"tenants":[]}""",
            """{"version":3,"services":[],"tenants":[]}""",
        ],
    )
    fun `a configuration with an unreadable part is unreadable as a whole`(json: String) {
        expectThat(decode("op/config", json)).isA<FleetUpdate.Unreadable>()
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "", "[]", "{", "null", "{\"service\":\"s\"}",
            """{"service":"s","address":"nowhere","zone":"z","slots":48,"state":"ready"}""",
            """{"service":"s","address":"10.0.0.9:8080","zone":"z","slots":"48","state":"ready"}""",
            """{"service":"s","address":"10.0.0.9:8080","zone":"z","slots":48,"state":"asleep"}""",
            """{"service":7,"address":"10.0.0.9:8080","zone":"z","slots":48,"state":"ready"}""",
        ],
    )
    fun `a malformed item is unreadable`(json: String) {
        expectThat(decode("servers/i-1", json)).isA<FleetUpdate.Unreadable>()
    }

    /** Guards against items that overflow the stack or the heap when they are parsed. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "servers/i-1", "op/config", "op/version/m", "lacewingweir/instances/a", "lacewingweir/hot-customers",
            "lacewingweir/blocked-parts", "lacewingweir/target-moments", "lacewingweir/served-versions",
            "lacewingweir/streams/a/1",
        ],
    )
    fun `a value that is nested too deeply or has too many values is unreadable`(key: String) {
        for (part in listOf("[", "{\"a\":", "[{\"a\":", "0,")) {
            expectThat(decode(key, "{\"version\":7,\"routes\":[" + part.repeat(1_000_000 / part.length)))
                .isA<FleetUpdate.Unreadable>()
        }
    }

    /** Guards against operators who can't see which configuration is not in force. */
    @Test
    fun `a configuration that can't be read is named by its number`() {
        expectThat(decode("op/config", "{\"version\":7,\"routes\":" + "[".repeat(4_000)))
            .isA<FleetUpdate.Unreadable>()
            .get { reason }
            .contains("configuration 7")
    }

    /** Guards against calls that fail since their endpoint's id can't be sent in a header. */
    @Test
    fun `an endpoint whose id is not printable is unreadable`() {
        expectThat(decode("servers/i\n1", endpointItem)).isA<FleetUpdate.Unreadable>()
    }

    @Test
    fun `numbers of slots beyond any range are unreadable`() {
        for (slots in listOf("-1", "4294967297", "9".repeat(400), "1e400")) {
            expectThat(decode("servers/i-1", endpointItem.replace("48", slots))).isA<FleetUpdate.Unreadable>()
        }
    }

    @Test
    fun `bytes that are not UTF-8 are unreadable`() {
        expectThat(
            PlatformItemCodec.decode("servers/i-1", byteArrayOf(0x7b, 0x22, -1, -2)),
        ).isA<FleetUpdate.Unreadable>()
    }

    @Test
    fun `unused keys are ignored`() {
        expectThat(decode("status/x", "{}")).isNull()
    }

    @Test
    fun `a configuration is decoded and the longest prefix of a path selects the route`() {
        val config =
            decode(
                "op/config",
                """{"version":7,"routes":[
                {"name":"a","host":"H.example","prefix":"/a/","kind":"non_idempotent","timeoutMs":1000,"service":"s","maxAttempts":1},
                {"name":"b","host":"h.example","prefix":"/a/b/","kind":"stream","timeoutMs":15000.0,"priority":1,
                 "split":[{"service":"s","weight":90},{"service":"t","weight":10}],"maxAttempts":2,"public":true,"resumable":true},
                {"name":"c","host":"h.example","prefix":"/c/","kind":"new","timeoutMs":1000,"service":"s"}],
                "services":[{"name":"s","maxConns":300,"engine":{"slots":48,"kvCapTokens":1000,"kvTokenBytes":163840,"linkMbps":260000.0,
                 "models":[{"name":"m"}]}},{"name":"w","kvStoreAddr":"10.0.0.1:1","zone":"z"}],
                "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
                "tenants":[{"name":"t","apiKeys":["k"],"priority":1,"unit":"token_stream","plainTokens":200,"isolated":true,
                 "ratePerS":86054,"burst":86054},{"name":"u","apiKeys":[],"ratePerS":0}]}""",
            )
        expectThat(config).isA<FleetUpdate.Config>().get { this.config }.and {
            get { number }.isEqualTo(7)
            get { route("h.example", "/a/x") }.isNotNull().get { id.value }.isEqualTo("a")
            get { route("h.example", "/a/b/x") }.isNotNull().and {
                get { id.value }.isEqualTo("b")
                get { repeatable }.isTrue()
                get { targets.sumOf { it.weight } }.isEqualTo(100)
            }
            get { route("h.example", "/d/") }.isNull()
            // A request of an unknown kind must not be repeated.
            get { route("h.example", "/c/x") }.isNotNull().get { kind }.isEqualTo(RequestKind.NON_IDEMPOTENT)
            get { services[ServiceName("w")] }.isNull()
            get { customer(KeyDigest.of("k")) }.isNotNull().and {
                get { isolated }.isTrue()
                get { rate?.perSecond }.isEqualTo(86_054.0)
            }
            get { customers.last().rate }.isNull()
            get { customer(KeyDigest.of("other")) }.isNull()
        }
    }

    @Test
    fun `blocked parts are decoded as they were encoded`() {
        val ids =
            linkedSetOf("5c1e07a2", "91bd3f06").mapTo(LinkedHashSet()) { SuspectId.of(PartId(it)) } +
                SuspectId.of(RequestFingerprint("b3JkZXItcmVxdWVzdC0x"))
        val decoded = PlatformItemCodec.decode(PlatformKeys.BLOCK_LIST, PlatformItemCodec.encodeBlockList(ids))
        expectThat(decoded).isEqualTo(FleetUpdate.BlockList(ids))
    }

    @Test
    fun `moments of target weights are encoded and decoded`() {
        val moments = listOf(TargetMoment(ModelName("m"), WeightsNumber(3), 1_780_000_000_000))
        val decoded =
            PlatformItemCodec.decode(PlatformKeys.TARGET_MOMENTS, PlatformItemCodec.encodeTargetMoments(moments))
        expectThat(decoded).isEqualTo(FleetUpdate.TargetMoments(moments))
    }

    @Test
    fun `begun streams are decoded as they were encoded`() {
        val streams =
            mapOf(
                StreamOrigin(
                    ServiceName("s"),
                    SoftwareVersion("v1"),
                ) to listOf(StreamTag(1), StreamTag(Long.MIN_VALUE)),
                StreamOrigin(ServiceName("t"), software = null) to listOf(StreamTag.of(RequestId("9c41d07be2a35f68"))),
            )
        val decoded =
            PlatformItemCodec.decode("lacewingweir/streams/a/7", PlatformItemCodec.encodeBegunStreams(streams))
        expectThat(decoded).isA<FleetUpdate.BegunStreams>().get { this.streams }.isEqualTo(streams)
    }

    @Test
    fun `served versions are decoded as they were encoded`() {
        val versions =
            setOf(
                ServedVersion(ServiceName("s"), SoftwareVersion("v1"), untilUnixMillis = 1_780_000_000_000),
                ServedVersion(ServiceName("s"), SoftwareVersion("v2")),
                ServedVersion(ServiceName("t"), software = null),
            )
        val value = PlatformItemCodec.encodeServedVersions(versions)
        val decoded = PlatformItemCodec.decode(PlatformKeys.SERVED_VERSIONS, value)
        expectThat(decoded).isEqualTo(FleetUpdate.ServedVersions(versions))
    }
}
