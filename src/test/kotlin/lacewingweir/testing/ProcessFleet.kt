package lacewingweir.testing

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import lacewingweir.coordination.store.StoreResult
import lacewingweir.coordination.store.valueOrNull
import lacewingweir.protocol.bundle.BundleText
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.Customer
import lacewingweir.state.bundle.Ed25519
import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.bundle.EndpointKind
import lacewingweir.state.bundle.Model
import lacewingweir.state.bundle.Route
import lacewingweir.state.bundle.SignedBundle
import lacewingweir.state.bundle.SignedBundleCodec
import lacewingweir.state.bundle.TrafficClass
import lacewingweir.state.id.BundleNumber
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.RouteId
import lacewingweir.state.id.WeightsVersion
import lacewingweir.state.keys.KeyDirectory
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResponse
import lacewingweir.transport.http.ClientResult
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.http.readAll
import lacewingweir.transport.store.EtcdConfigStore
import lacewingweir.transport.store.EtcdStoreSettings
import lacewingweir.transport.store.StoreAddress
import java.io.File
import java.net.ServerSocket
import java.nio.file.Files
import java.util.UUID

/**
 * A fleet of processes on loopback: the platform, [engineCount] engines, a service and [instanceCount] instances.
 *
 * Connections to every engine and to the service, and those of each instance to the platform, pass a [FaultProxy].
 */
internal class ProcessFleet(
    private val engineCount: Int = 3,
    private val instanceCount: Int = 3,
    private val engineArgs: List<String> = emptyList(),
    customerRate: Long = 1_000_000,
    customerBurst: Long = 10_000_000,
    extraCustomers: List<Customer> = emptyList(),
) : AutoCloseable {
    class StandinProcess(
        val process: ProgramProcess,
        val port: Int,
    )

    class Instance(
        val name: String,
        val callerPort: Int,
        val operatorPort: Int,
        val peerPort: Int,
        val storeProxy: FaultProxy,
        val settingsFile: File,
    ) {
        var process: ProgramProcess? = null
    }

    private val group = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())
    private val signingKeys = Ed25519.newKeyPair()
    private val directory: File = Files.createTempDirectory("fleet").toFile()
    val http: HttpClient = HttpClient(group)

    var platform: StandinProcess
        private set
    val platformControlPort: Int
    val engines: MutableList<StandinProcess> = ArrayList()
    val engineProxies: MutableList<FaultProxy> = ArrayList()
    val service: StandinProcess
    val serviceProxy: FaultProxy
    val instances: MutableList<Instance> = ArrayList()
    val store: EtcdConfigStore
    private var customers =
        listOf(
            Customer(
                id = CustomerId("agence"),
                tokensPerSecond = customerRate,
                burstTokens = customerBurst,
                keys = listOf(KeyDirectory.digestOf(KEY)),
            ),
        ) + extraCustomers

    init {
        val platformProcess = ProgramProcess.start("platform", "standin", "platform", "--port", "0")
        platformControlPort = platformProcess.awaitPort("platform control")
        platform = StandinProcess(platformProcess, platformProcess.awaitPort("platform"))
        repeat(engineCount) { n ->
            engines += StandinProcess(startEngine(n, 0), 0)
        }
        engines.replaceAll { StandinProcess(it.process, it.process.awaitPort("engine")) }
        engines.forEach { engineProxies += FaultProxy(it.port) }
        val serviceProcess = ProgramProcess.start("service", "standin", "service", "--port", "0", "--capture")
        service = StandinProcess(serviceProcess, serviceProcess.awaitPort("service"))
        serviceProxy = FaultProxy(service.port)
        store = EtcdConfigStore(http, EtcdStoreSettings(listOf(StoreAddress("127.0.0.1", platform.port))))
        runBlocking { publish(1) }
        repeat(instanceCount) { instances += newInstance(it + 1) }
        instances.forEach(::startInstance)
        // If the constructor fails, no caller can close the fleet, and its processes would keep running.
        runCatching { runBlocking { instances.forEach { awaitReady(it) } } }.onFailure { close() }.getOrThrow()
    }

    private fun newInstance(number: Int): Instance {
        val ports = freePorts(3)
        val proxy = FaultProxy(platform.port)
        val settingsFile = File(directory, "entry-$number.json")
        val instance = Instance("entry-$number", ports[0], ports[1], ports[2], proxy, settingsFile)
        settingsFile.writeText(settingsOf(instance).toString())
        return instance
    }

    private fun settingsOf(instance: Instance): JsonObject =
        buildJsonObject {
            put("name", instance.name)
            put("failureDomain", "liege")
            put("callerListen", "127.0.0.1:${instance.callerPort}")
            put("operatorListen", "127.0.0.1:${instance.operatorPort}")
            put("peerListen", "127.0.0.1:${instance.peerPort}")
            putJsonArray("peerSeeds") { instances.forEach { add("127.0.0.1:${it.peerPort}") } }
            putJsonArray("storeAddresses") { add("127.0.0.1:${instance.storeProxy.port}") }
            putJsonObject("fleetSecret") { put("inline", "0123456789abcdef0123456789abcdef") }
            putJsonObject("bundleSigners") { put("test", signingKeys.publicKey) }
            putJsonObject("shutdown") { put("balancerMillis", 200) }
        }

    fun startInstance(instance: Instance) {
        instance.process = ProgramProcess.start(instance.name, "serve", "--settings", instance.settingsFile.path)
    }

    /** Waits until [instance] is ready and has its share of the rate. Fails after [timeoutMillis]. */
    suspend fun awaitReady(
        instance: Instance,
        timeoutMillis: Long = 40_000,
    ) {
        val deadlineNanos = System.nanoTime() + timeoutMillis * 1_000_000
        var lastAnswer: Any = "no answer"
        while (System.nanoTime() < deadlineNanos) {
            val answer = get(instance.operatorPort, "/fleet")
            if (answer != null) {
                lastAnswer = answer
                val report = Json.parseToJsonElement(answer).jsonObject
                val isReady = report["instance"].toString().contains("\"unreadyReasons\":[]")
                if (isReady && !report["degraded"].toString().contains("no-rate-share")) return
            }
            val exitCode = instance.process?.exitCode
            check(exitCode == null) { "${instance.name} exited with $exitCode: ${instance.process?.log?.readText()}" }
            delay(100)
        }
        error("${instance.name} is not ready: $lastAnswer; see ${instance.process?.log}")
    }

    /** Publishes bundle [number] with [weights] of the model and the customers [newCustomers]. */
    suspend fun publish(
        number: Long,
        weights: String = "v1",
        newCustomers: List<Customer> = customers,
    ) {
        customers = newCustomers
        val revision = store.get("/lw/bundle").valueOrNull()?.modRevision ?: 0
        val written = store.compareAndSet("/lw/bundle", revision, signedBundle(number, weights))
        check(written is StoreResult.Ok && written.value) { "bundle was not written: $written" }
    }

    /** Returns a signed bundle as `bundle sign` writes it, with a new operation id. */
    fun signedBundle(
        number: Long,
        weights: String = "v1",
    ): ByteArray {
        val payload = BundleText.canonical(bundle(number, weights))
        val signature = checkNotNull(Ed25519.sign(payload, signingKeys.privateKey))
        return SignedBundleCodec.encode(SignedBundle(payload, signature, "test", UUID.randomUUID().toString()))
    }

    /** Kills the platform and starts an empty one on the same ports. */
    fun replacePlatform() {
        platform.process.close()
        val ports = listOf("--port", platform.port, "--control-port", platformControlPort).map { it.toString() }
        val process = ProgramProcess.start("platform", "standin", "platform", *ports.toTypedArray())
        platform = StandinProcess(process, process.awaitPort("platform"))
    }

    /** Restarts engine [index] on the same port after its process was killed. */
    fun restartEngine(index: Int) {
        val port = engines[index].port
        val process = startEngine(index, port)
        engines[index] = StandinProcess(process, process.awaitPort("engine"))
    }

    private fun startEngine(
        index: Int,
        port: Int,
    ): ProgramProcess {
        val args = listOf("standin", "engine", "--port", "$port", "--model", "grade=v1", "--capture") + engineArgs
        return ProgramProcess.start("engine-${index + 1}", *args.toTypedArray())
    }

    private fun bundle(
        number: Long,
        weights: String,
    ): Bundle =
        Bundle(
            number = BundleNumber(number),
            customers = customers,
            models = listOf(Model(ModelName("grade"), WeightsVersion(weights))),
            endpoints =
                engineProxies.mapIndexed { n, proxy -> endpoint("engine-${n + 1}", EndpointKind.ENGINE, proxy.port) } +
                    endpoint("exchange", EndpointKind.SERVICE, serviceProxy.port),
            routes =
                listOf(
                    Route(RouteId("grade-tag"), TrafficClass.INTERACTIVE, model = ModelName("grade")),
                    Route(
                        id = RouteId("reservations"),
                        trafficClass = TrafficClass.INTERACTIVE,
                        path = "reservations",
                        services = listOf(EndpointId("exchange")),
                        repeatable = false,
                        deadlineMillis = 3_000,
                    ),
                    Route(
                        id = RouteId("lots"),
                        trafficClass = TrafficClass.INTERACTIVE,
                        path = "lots",
                        services = listOf(EndpointId("exchange")),
                        open = true,
                    ),
                ),
        )

    private fun endpoint(
        id: String,
        kind: EndpointKind,
        port: Int,
    ): Endpoint =
        Endpoint(
            id = EndpointId(id),
            kind = kind,
            host = "127.0.0.1",
            port = port,
            failureDomain = FailureDomain("liege"),
            models = if (kind == EndpointKind.ENGINE) listOf(ModelName("grade")) else emptyList(),
        )

    /** Sends a `GET` request to a loopback port and returns the body, or null without a complete response. */
    suspend fun get(
        port: Int,
        path: String,
    ): String? {
        val result = http.open(ClientRequest("127.0.0.1", port, "GET", path, headTimeoutMillis = 2_000))
        return (result as? ClientResult.Answered)?.response?.readAll(8 * 1024 * 1024)?.decodeToString()
    }

    /** Sets the faults of the stand-in that listens on [port] to those of the JSON object [body]. */
    suspend fun setFaults(
        port: Int,
        body: String,
    ) {
        val request = ClientRequest("127.0.0.1", port, "POST", "/standin/faults", body = body.toByteArray())
        val answer = http.open(request) as ClientResult.Answered
        check(answer.response.status in 200..299) { "the stand-in refused the faults: ${answer.response.status}" }
        answer.response.readAll(65_536)
    }

    /** Posts [body] to the caller port of [instance] and returns the response, or null if there is none. */
    suspend fun post(
        instance: Instance,
        path: String,
        body: String,
        headers: List<Pair<String, String>> = listOf("Authorization" to "Bearer $KEY"),
    ): ClientResponse? {
        val request =
            ClientRequest(
                host = "127.0.0.1",
                port = instance.callerPort,
                method = "POST",
                path = path,
                headers = headers + ("Content-Type" to "application/json"),
                body = body.toByteArray(),
                headTimeoutMillis = 40_000,
            )
        return (http.open(request) as? ClientResult.Answered)?.response
    }

    override fun close() {
        instances.forEach { it.process?.close() }
        (engines + service + platform).forEach { it.process.close() }
        engineProxies.forEach { it.close() }
        instances.forEach { it.storeProxy.close() }
        serviceProxy.close()
        http.close()
        group.shutdownGracefully()
        directory.deleteRecursively()
    }

    companion object {
        const val KEY: String = "caller-key-that-no-endpoint-may-see"

        /** Returns the body of a chat completion request. */
        fun chatBody(
            prompt: String,
            answerTokens: Int,
            stream: Boolean = true,
        ): String =
            buildJsonObject {
                put("model", "grade-tag")
                put("stream", stream)
                put("max_tokens", answerTokens)
                putJsonArray("messages") {
                    add(
                        buildJsonObject {
                            put("role", "user")
                            put("content", prompt)
                        },
                    )
                }
            }.toString()

        // An instance binds its ports a second or more after they are chosen. Ephemeral ports could be assigned to
        // other sockets in between, and the instance would exit with "Address already in use".
        private val portsBelowEphemeral = 10_000..32_000

        private fun freePorts(count: Int): List<Int> =
            generateSequence { portsBelowEphemeral.random() }
                .distinct()
                .filter { runCatching { ServerSocket(it).close() }.isSuccess }
                .take(count)
                .toList()
    }
}
