package lacewingweir.benchmark

import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.Customer
import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.bundle.EndpointKind
import lacewingweir.state.bundle.Model
import lacewingweir.state.bundle.Route
import lacewingweir.state.bundle.TrafficClass
import lacewingweir.state.id.BundleNumber
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.KeyDigest
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.RouteId
import lacewingweir.state.id.WeightsVersion
import lacewingweir.state.keys.KeyDirectory

/** Creates synthetic bundles of given sizes. */
internal object Fleets {
    fun bundle(
        customers: Int,
        keysPerCustomer: Int,
        engines: Int,
        routes: Int,
        models: Int,
        slots: Int = 32,
    ): Bundle {
        val bundleModels = (0 until models).map { Model(ModelName("model-%02d".format(it)), WeightsVersion("v1")) }
        return Bundle(
            number = BundleNumber(1),
            customers =
                (0 until customers).map { index ->
                    Customer(
                        CustomerId("customer-%04d".format(index)),
                        RATE,
                        RATE * BURST_SECONDS,
                        keys = (0 until keysPerCustomer).map { digest(index * keysPerCustomer + it) },
                    )
                },
            models = bundleModels,
            endpoints =
                (0 until engines).map {
                    Endpoint(
                        EndpointId("engine-%04d".format(it)),
                        EndpointKind.ENGINE,
                        "10.1.${it / 250}.${it % 250 + 1}",
                        8_000,
                        FailureDomain("domain-${it % 10}"),
                        listOf(bundleModels[it % models].name),
                        slots = slots,
                    )
                },
            routes =
                (0 until routes).map {
                    Route(
                        RouteId("route-%04d".format(it)),
                        if (it % 2 == 0) TrafficClass.INTERACTIVE else TrafficClass.BATCH,
                        model = bundleModels[it % models].name,
                    )
                },
        )
    }

    fun digest(number: Int): KeyDigest = KeyDirectory.digestOf("key-$number")

    private const val RATE = 20_000L
    private const val BURST_SECONDS = 10L
}
