package lacewingweir.cli

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import lacewingweir.cli.io.CommandContext
import lacewingweir.cli.io.StoreHandle
import lacewingweir.coordination.keys.WithdrawalResult
import lacewingweir.coordination.store.FakeConfigStore
import lacewingweir.protocol.operator.FleetReport
import lacewingweir.protocol.operator.InstanceReport
import lacewingweir.protocol.operator.PeerReport
import lacewingweir.state.id.InstanceName
import lacewingweir.state.id.KeyDigest
import lacewingweir.state.keys.KeyDirectory
import lacewingweir.state.keys.KeyRecordCodec
import lacewingweir.state.keys.KeyStatus
import lacewingweir.transport.operator.OperatorServer
import lacewingweir.transport.operator.OperatorSources
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path

internal class CommandLineTest {
    @TempDir
    lateinit var directory: Path

    private val store = FakeConfigStore()
    private val output = StringBuilder()
    private val errorOutput = StringBuilder()
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val withdrawnDigests = ArrayList<KeyDigest>()
    private var unconfirmed = listOf<InstanceName>()
    private val report =
        FleetReport(
            InstanceReport("a", "d", "i", 4, 2, 0, listOf("no quorum")),
            listOf(PeerReport("b", "d", "127.0.0.1", 1, 3, 2, true, 10)),
            degraded = listOf("store down"),
        )
    private val operator =
        OperatorServer(
            group,
            scope,
            "127.0.0.1",
            0,
            OperatorSources(
                { emptyList() },
                { report },
                { if (it == "r1") "{\"id\":\"r1\"}" else null },
                {
                    withdrawnDigests.add(it)
                    WithdrawalResult(listOf(InstanceName("a")), unconfirmed, false)
                },
                PrometheusRegistry(),
            ),
        ).start()
    private val operatorAddress = "127.0.0.1:${operator.port}"
    private val closedAddress = "127.0.0.1:" + ServerSocket(0).use { it.localPort }

    @AfterEach
    fun tearDown() {
        operator.close()
        scope.cancel()
        group.shutdownGracefully()
    }

    private fun run(vararg args: String): Int {
        output.clear()
        errorOutput.clear()
        val context =
            CommandContext(
                { StoreHandle(store) },
                out = { output.appendLine(it) },
                err = { errorOutput.appendLine(it) },
            )
        return CommandLine(context).run(args.toList())
    }

    private fun file(
        name: String,
        text: String,
    ): String = directory.resolve(name).also { Files.writeString(it, text) }.toString()

    private fun path(name: String): String = directory.resolve(name).toString()

    private fun bundleText(number: Int): String =
        """{"number": $number, "customers": [{"id": "c1", "tokensPerSecond": $number, "burstTokens": 9}],
           "models": [], "endpoints": [], "routes": []}"""

    // Guards against scripts that mistake a usage error for another outcome.
    @Test
    fun `help and version exit with 0 and usage errors with 2`() {
        val commands =
            listOf("settings check", "bundle check", "bundle sign", "bundle publish", "bundle status", "bundle diff") +
                listOf("bundle keygen", "key grant", "key withdraw", "fleet status", "explain", "bundle", "key", "")
        for (command in commands) {
            val words = command.split(' ').filter { it.isNotEmpty() } + "--help"
            expectThat(run(*words.toTypedArray())).describedAs(command).isEqualTo(0)
            expectThat(output.toString()).contains("Usage: lacewingweir $command".trim() + " options_list")
        }
        expectThat(run("--version")).isEqualTo(0)
        for (words in listOf(
            "",
            "nonsense",
            "bundle",
            "bundle nonsense",
            "key grant",
            "bundle check",
            "fleet status",
        )) {
            val args = words.split(' ').filter { it.isNotEmpty() }
            expectThat(run(*args.toTypedArray())).describedAs(words).isEqualTo(2)
        }
        expectThat(run("key", "grant", "c1", "--store", "store.example:2379")).isEqualTo(2)
        expectThat(run("key", "grant", "c1")).isEqualTo(2)
        expectThat(run("explain", "r1", "--operator", "nowhere")).isEqualTo(2)
    }

    @Test
    fun `the check commands print every mistake with its path`() {
        val invalidFile =
            file("bad.json", "{\"number\": 0, \"customers\": [], \"models\": [], \"endpoints\": {}, \"x\": 1}")
        expectThat(run("bundle", "check", invalidFile)).isEqualTo(2)
        expectThat(
            errorOutput.toString(),
        ).contains("number: found 0").contains("endpoints: found {}").contains("x: found 1")
        expectThat(run("bundle", "check", file("good.json", bundleText(1)))).isEqualTo(0)
        expectThat(run("bundle", "check", path("missing.json"))).isEqualTo(2)
        expectThat(run("settings", "check", file("settings.json", "{}"))).isEqualTo(2)
        expectThat(errorOutput.toString()).contains("storeAddresses: found nothing")
    }

    // Guards against a script that publishes a bundle in spite of warnings.
    @Test
    fun `a check compares with the bundle in force and fails on warnings only if it is strict`() {
        val new = file("new.json", bundleText(2))
        val old = file("old.json", bundleText(1))
        expectThat(run("bundle", "check", new, "--in-force", old)).isEqualTo(0)
        expectThat(output.toString()).contains("~ customers[c1].tokensPerSecond: 1 -> 2")
        expectThat(errorOutput.toString()).contains("warning: customers[c1].keys: none")
        expectThat(run("bundle", "check", new, "--strict")).isEqualTo(1)
        expectThat(run("bundle", "check", new, "--in-force", path("missing.json"))).isEqualTo(2)
    }

    @Test
    fun `a bundle is signed, published at most once and compared with the store`() {
        expectThat(run("bundle", "keygen", "--out", path("alice"))).isEqualTo(0)
        expectThat(run("bundle", "keygen", "--out", path("alice"))).isEqualTo(1)
        val publicKey = Files.readString(Path.of(path("alice.public"))).trim()
        val sign = listOf("--signer", "alice", "--key", path("alice.private"), "--out")
        for (number in 1..2) {
            val source = file("$number.json", bundleText(number))
            val args = listOf("bundle", "sign", source) + sign + path("$number.signed")
            expectThat(run(*args.toTypedArray())).isEqualTo(0)
        }
        val settings = file("settings.json", settingsText(publicKey))
        expectThat(run("bundle", "publish", path("2.signed"), "--settings", settings)).isEqualTo(3)
        expectThat(run("bundle", "publish", path("1.signed"), "--settings", settings)).isEqualTo(0)
        expectThat(run("bundle", "diff", path("2.json"), "--settings", settings)).isEqualTo(0)
        expectThat(output.lines().filter { it.isNotEmpty() })
            .containsExactly("~ customers[c1].tokensPerSecond: 1 -> 2", "~ number: 1 -> 2")
        expectThat(run("bundle", "publish", path("2.signed"), "--settings", settings)).isEqualTo(0)
        expectThat(run("bundle", "publish", path("1.signed"), "--settings", settings)).isEqualTo(3)
        Files.writeString(Path.of(settings), settingsText(publicKey).replace("\"alice\"", "\"bob\""))
        expectThat(run("bundle", "publish", path("2.signed"), "--settings", settings)).isEqualTo(2)
        store.down = true
        expectThat(run("bundle", "publish", path("2.signed"), "--store", "127.0.0.1:1")).isEqualTo(5)
    }

    private fun settingsText(publicKey: String): String =
        """{"name": "i", "failureDomain": "d", "callerListen": "127.0.0.1:1", "operatorListen": "127.0.0.1:2",
           "peerListen": "127.0.0.1:3", "storeAddresses": ["127.0.0.1:4"],
           "fleetSecret": {"inline": "0123456789abcdef"}, "bundleSigners": {"alice": "$publicKey"}}"""

    // Guards against storing the key itself, and against a withdrawal that fails if the answer to its write is lost.
    @Test
    fun `a granted key is printed once, stored as a digest and withdrawn permanently`() {
        expectThat(run("key", "grant", "c1", "--store", "127.0.0.1:1")).isEqualTo(0)
        val key = output.toString().trim()
        val storeKey = KeyRecordCodec.STORE_PREFIX + KeyDirectory.digestOf(key).value
        expectThat(store.value(storeKey))
            .isNotNull()
            .get { decodeToString() }
            .not()
            .contains(key)
        expectThat(run("key", "withdraw", "--store", "127.0.0.1:1", "--key-file", file("key", "$key\n"))).isEqualTo(0)
        expectThat(KeyRecordCodec.decode(checkNotNull(store.value(storeKey)))?.status).isEqualTo(KeyStatus.WITHDRAWN)
        store.responsesToLose = 1
        expectThat(run("key", "withdraw", "--store", "127.0.0.1:1", "--digest", "b".repeat(64))).isEqualTo(0)
        expectThat(run("key", "withdraw", "--store", "127.0.0.1:1", "--digest", "b")).isEqualTo(2)
    }

    @Test
    fun `without the store a key is withdrawn through an instance and the confirmations are printed`() {
        store.down = true
        val digest = "c".repeat(64)
        val withdrawArgs = listOf("key", "withdraw", "--store", "127.0.0.1:1", "--digest", digest)
        expectThat(run(*withdrawArgs.toTypedArray())).isEqualTo(5)
        expectThat(run(*(withdrawArgs + listOf("--operator", closedAddress)).toTypedArray())).isEqualTo(5)
        val argsWithOperators = withdrawArgs + listOf("--operator", closedAddress, "--operator", operatorAddress)
        expectThat(run(*argsWithOperators.toTypedArray())).isEqualTo(0)
        expectThat(output.toString()).contains("confirmed by: a").contains("to be written to the store")
        unconfirmed = listOf(InstanceName("b"))
        expectThat(run(*argsWithOperators.toTypedArray())).isEqualTo(4)
        expectThat(errorOutput.toString()).contains("not confirmed by: b")
        expectThat(withdrawnDigests.toSet()).containsExactly(KeyDigest(digest))
    }

    @Test
    fun `fleet status, bundle status and explain call the operator port`() {
        expectThat(run("fleet", "status", "--operator", operatorAddress)).isEqualTo(0)
        expectThat(
            output.toString(),
        ).contains("not ready: no quorum").contains("degraded: store down").contains("b (d)")
        expectThat(run("bundle", "status", "--operator", operatorAddress)).isEqualTo(1)
        expectThat(output.toString()).contains("b 3 lags")
        expectThat(run("explain", "r1", "--operator", operatorAddress)).isEqualTo(0)
        expectThat(run("explain", "r2", "--operator", operatorAddress)).isEqualTo(1)
        expectThat(run("fleet", "status", "--operator", closedAddress)).isEqualTo(5)
    }
}
