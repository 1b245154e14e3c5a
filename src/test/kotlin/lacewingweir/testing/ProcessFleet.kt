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
 * A fleet of real processes on loopback: one platform, [engineCount] engines, one service, [instanceCount] instances.
 *
 * A [FaultProxy] stands before every engine, before the service, and between each instance and the platform.
 */
internal class ProcessFleet(
    private val engineCount: Int = 3,
    private val instanceCount: Int = 3,
    private val engineArgs: List<String> = emptyList(),
    customerRate: Long = 1_000_000,
    customerBurst: Long = 10_000_000,
    extraCustomers: List<Customer> = emptyList(),
) : AutoCloseable {
    class Listening(
        val process: ProgramProcess,
        val port: Int,
    )

    class Instance(
        val name: String,
        val callerPort: Int,
        val operatorPort: Int,
        val peerPort: Int,
        val storeProxy: FaultProxy,
        val settings: File,
    ) {
        var process: ProgramProcess? = null
    }

    private val group = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())
    private val signing = Ed25519.newKeyPair()
    private val directory: File = Files.createTempDirectory("fleet").toFile()
    val http: HttpClient = HttpClient(group)

    var platform: Listening
        private set
    val platformControlPort: Int
    val engines: MutableList<Listening> = ArrayList()
    val engineProxies: MutableList<FaultProxy> = ArrayList()
    val service: Listening
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
        platform = Listening(platformProcess, platformProcess.awaitPort("platform"))
        repeat(engineCount) { n ->
            engines += Listening(startEngine(n, 0), 0)
        }
        engines.replaceAll { Listening(it.process, it.process.awaitPort("engine")) }
        engines.forEach { engineProxies += FaultProxy(it.port) }
        val serviceProcess = ProgramProcess.start("service", "standin", "service", "--port", "0", "--capture")
        service = Listening(serviceProcess, serviceProcess.awaitPort("service"))
        serviceProxy = FaultProxy(service.port)
        store = EtcdConfigStore(http, EtcdStoreSettings(listOf(StoreAddress("127.0.0.1", platform.port))))
        runBlocking { publish(1) }
        repeat(instanceCount) { instances += instance(it + 1) }
        instances.forEach(::startInstance)
        // A fleet that can't start is closed by nobody else and would leave its processes behind.
        runCatching { runBlocking { instances.forEach { awaitReady(it) } } }.onFailure { close() }.getOrThrow()
    }

    private fun instance(number: Int): Instance {
        val ports = freePorts(3)
        val proxy = FaultProxy(platform.port)
        val settings = File(directory, "entry-$number.json")
        val created = Instance("entry-$number", ports[0], ports[1], ports[2], proxy, settings)
        settings.writeText(settingsOf(created).toString())
        return created
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
            putJsonObject("bundleSigners") { put("test", signing.publicKey) }
            putJsonObject("shutdown") { put("balancerMillis", 200) }
        }

    fun startInstance(instance: Instance) {
        instance.process = ProgramProcess.start(instance.name, "serve", "--settings", instance.settings.path)
    }

    /** Waits until `/readyz` says yes and the instance is a member of the epoch. */
    suspend fun awaitReady(
        instance: Instance,
        timeoutMillis: Long = 40_000,
    ) {
        val end = System.nanoTime() + timeoutMillis * 1_000_000
        var last: Any = "no answer"
        while (System.nanoTime() < end) {
            val answer = get(instance.operatorPort, "/fleet")
            if (answer != null) {
                last = answer
                val report = Json.parseToJsonElement(answer).jsonObject
                val ready = report["instance"].toString().contains("\"unreadyReasons\":[]")
                if (ready && !report["degraded"].toString().contains("no-rate-share")) return
            }
            delay(100)
        }
        error("${instance.name} is not ready: $last; see ${instance.process?.log}")
    }

    /** Publishes bundle [number] with [weights] of the model. */
    suspend fun publish(
        number: Long,
        weights: String = "v1",
        changed: List<Customer> = customers,
    ) {
        customers = changed
        val revision = store.get("/lw/bundle").valueOrNull()?.modRevision ?: 0
        val written = store.compareAndSet("/lw/bundle", revision, signedBundle(number, weights))
        check(written is StoreResult.Ok && written.value) { "bundle was not written: $written" }
    }

    /** Text of a signed bundle as `bundle sign` writes it, with a new operation id. */
    fun signedBundle(
        number: Long,
        weights: String = "v1",
    ): ByteArray {
        val payload = BundleText.canonical(bundle(number, weights))
        val signature = checkNotNull(Ed25519.sign(payload, signing.privateKey))
        return SignedBundleCodec.encode(SignedBundle(payload, signature, "test", UUID.randomUUID().toString()))
    }

    /** Kills the platform and starts it empty on the same ports. */
    fun replacePlatform() {
        platform.process.close()
        val ports = listOf("--port", platform.port, "--control-port", platformControlPort).map { it.toString() }
        val process = ProgramProcess.start("platform", "standin", "platform", *ports.toTypedArray())
        platform = Listening(process, process.awaitPort("platform"))
    }

    /** Starts engine [index] on its former port after its process was killed. */
    fun restartEngine(index: Int) {
        val port = engines[index].port
        val process = startEngine(index, port)
        engines[index] = Listening(process, process.awaitPort("engine"))
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

    /** Body of `GET` on a loopback port, or null without a whole answer. */
    suspend fun get(
        port: Int,
        path: String,
    ): String? {
        val result = http.open(ClientRequest("127.0.0.1", port, "GET", path, headTimeoutMillis = 2_000))
        return (result as? ClientResult.Answered)?.response?.readAll(8 * 1024 * 1024)?.decodeToString()
    }

    /** Sets a stand-in's faults. */
    suspend fun faults(
        port: Int,
        body: String,
    ) {
        val request = ClientRequest("127.0.0.1", port, "POST", "/standin/faults", body = body.toByteArray())
        val answer = http.open(request) as ClientResult.Answered
        check(answer.response.status in 200..299) { "faults were refused: ${answer.response.status}" }
        answer.response.readAll(65_536)
    }

    /** Posts to a caller port and returns the response's head, or null if no answer came. */
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

        /** Body of a streamed chat completion request. */
        fun chat(
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

        private fun freePorts(count: Int): List<Int> {
            val sockets = List(count) { ServerSocket(0) }
            return sockets.map { socket -> socket.use { it.localPort } }
        }
    }
}
