package lacewingweir.cli.demo

import kotlinx.coroutines.delay
import lacewingweir.cli.serve.EntryInstance
import lacewingweir.protocol.bundle.BundleText
import lacewingweir.protocol.settings.FleetSecret
import lacewingweir.protocol.settings.HostPort
import lacewingweir.protocol.settings.Settings
import lacewingweir.standin.engine.StandinEngine
import lacewingweir.standin.platform.StandinPlatform
import lacewingweir.standin.service.StandinService
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.Customer
import lacewingweir.state.bundle.Ed25519
import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.bundle.EndpointKind
import lacewingweir.state.bundle.Model
import lacewingweir.state.bundle.RolloutLimits
import lacewingweir.state.bundle.SignedBundle
import lacewingweir.state.bundle.SignedBundleCodec
import lacewingweir.state.id.BundleNumber
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.InstanceName
import java.util.UUID

/**
 * A complete system in one process: the platform, engines, services and instances, connected by loopback sockets.
 *
 * `demo` and `measure` use it. It can't reproduce faults of separate processes, such as crashes and pauses.
 */
public class EmbeddedFleet(
    private val options: EmbeddedFleetOptions,
) : AutoCloseable {
    private val signingKeys = Ed25519.newKeyPair()
    private val fleetSecret = FleetSecret(UUID.randomUUID().toString())
    private val runningInstances = ArrayList<EntryInstance>()
    private var bundleNumber = 0L

    /** The stand-in of the platform. */
    public val platform: StandinPlatform = StandinPlatform()

    /** The stand-ins of the engines, in the order of [EmbeddedFleetOptions.engines]. */
    public val engines: List<StandinEngine> = options.engines.map(::StandinEngine)

    /** The stand-ins of the services, in the order of [EmbeddedFleetOptions.services]. */
    public val services: List<StandinService> = options.services.map(::StandinService)

    /** The running instances. */
    public val instances: List<EntryInstance>
        get() = runningInstances

    /** The caller addresses of the running instances, as `host:port`. */
    public val callerTargets: List<String>
        get() = runningInstances.map { "$HOST:${it.callerPort}" }

    /**
     * Starts all components, publishes a bundle and waits until every instance is ready and has its share of the rate.
     *
     * @throws IllegalStateException if an instance is not ready within 40 seconds.
     */
    public suspend fun start(): EmbeddedFleet {
        platform.start()
        engines.forEach { it.start() }
        services.forEach { it.start() }
        publish(options.customers, options.models)
        repeat(options.instances) { startInstance(it) }
        awaitReady()
        return this
    }

    /** Starts the instance with this [index], counted from zero, for the first time or after [crashInstance]. */
    public suspend fun startInstance(index: Int): EntryInstance {
        val settings =
            Settings(
                name = InstanceName("entry-${index + 1}"),
                failureDomain = FailureDomain(failureDomainOf(index)),
                callerListen = HostPort(HOST, portAt(options.firstCallerPort, index)),
                operatorListen = HostPort(HOST, portAt(options.firstOperatorPort, index)),
                peerListen = HostPort(HOST, 0),
                peerSeeds = runningInstances.map { HostPort(HOST, it.peerPort) },
                storeAddresses = listOf(HostPort(HOST, platform.port)),
                fleetSecret = fleetSecret,
                bundleSigners = mapOf(SIGNER to signingKeys.publicKey),
            )
        return EntryInstance(settings, options.policy).start().also { runningInstances += it }
    }

    /** Closes [instance] without a graceful shutdown, as in a crash. */
    public fun crashInstance(instance: EntryInstance) {
        runningInstances -= instance
        instance.close()
    }

    /** Signs a bundle with the next number and writes it to the store. */
    public fun publish(
        customers: List<Customer> = options.customers,
        models: List<Model> = options.models,
    ) {
        val payload = BundleText.canonical(bundle(++bundleNumber, customers, models))
        val signature = checkNotNull(Ed25519.sign(payload, signingKeys.privateKey)) { "could not sign the bundle" }
        val signed = SignedBundle(payload, signature, SIGNER, UUID.randomUUID().toString())
        platform.put("/lw/bundle", SignedBundleCodec.encode(signed))
    }

    private fun bundle(
        number: Long,
        customers: List<Customer>,
        models: List<Model>,
    ): Bundle =
        Bundle(
            number = BundleNumber(number),
            customers = customers,
            models = models,
            endpoints = engineEndpoints(models) + serviceEndpoints(),
            routes = options.routes,
            rollout = RolloutLimits(options.maxConcurrentLoads),
        )

    private fun engineEndpoints(models: List<Model>): List<Endpoint> =
        engines.mapIndexed { index, engine ->
            Endpoint(
                id = EndpointId("engine-${index + 1}"),
                kind = EndpointKind.ENGINE,
                host = HOST,
                port = engine.port,
                failureDomain = FailureDomain(failureDomainOf(index)),
                models = models.map { it.name },
                checksFencing = !options.engines[index].ignoreFencing,
                slots = options.engines[index].slots,
            )
        }

    private fun serviceEndpoints(): List<Endpoint> =
        services.mapIndexed { index, service ->
            Endpoint(
                id = EndpointId("service-${index + 1}"),
                kind = EndpointKind.SERVICE,
                host = HOST,
                port = service.port,
                failureDomain = FailureDomain(failureDomainOf(index)),
            )
        }

    private fun failureDomainOf(index: Int): String = options.failureDomains[index % options.failureDomains.size]

    private suspend fun awaitReady() {
        repeat(READY_CHECKS) {
            if (runningInstances.all { it.isReady && it.hasRateShare }) return
            delay(READY_CHECK_MILLIS)
        }
        error("instances were not ready within ${READY_CHECKS * READY_CHECK_MILLIS} ms")
    }

    override fun close() {
        runningInstances.forEach { it.close() }
        engines.forEach { it.close() }
        services.forEach { it.close() }
        platform.close()
    }

    private companion object {
        const val HOST: String = "127.0.0.1"
        const val SIGNER: String = "embedded"
        const val READY_CHECKS: Int = 400
        const val READY_CHECK_MILLIS: Long = 100

        fun portAt(
            firstPort: Int,
            index: Int,
        ): Int = if (firstPort == 0) 0 else firstPort + index
    }
}
