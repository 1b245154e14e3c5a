package lacewingweir.cli.operations

import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.ClaimOutagePolicy
import lacewingweir.state.bundle.Customer
import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.bundle.EndpointKind
import lacewingweir.state.bundle.Model
import lacewingweir.state.bundle.RolloutLimits
import lacewingweir.state.bundle.Route
import lacewingweir.state.bundle.TrafficClass
import lacewingweir.state.id.BundleNumber
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.RouteId
import lacewingweir.state.id.WeightsVersion
import lacewingweir.state.keys.KeyDirectory
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty

internal class BundleReviewTest {
    private val grade = ModelName("grade")
    private val sound =
        Bundle(
            number = BundleNumber(7),
            customers = listOf(Customer(CustomerId("c1"), 1_000, 9_000, keys = listOf(KeyDirectory.digestOf("k1")))),
            models = listOf(Model(grade, WeightsVersion("v1"))),
            endpoints = (1..4).map { engine("e$it", grade) },
            routes = listOf(Route(RouteId("tag"), TrafficClass.INTERACTIVE, model = grade)),
        )

    private fun engine(
        id: String,
        model: ModelName,
    ) = Endpoint(EndpointId(id), EndpointKind.ENGINE, "127.0.0.1", 1, FailureDomain("a"), listOf(model))

    // Guards against warnings that operators learn to ignore.
    @Test
    fun `a sound bundle and its next number have no findings`() {
        expectThat(BundleReview.findings(sound)).isEmpty()
        expectThat(BundleReview.risks(sound, sound.copy(number = BundleNumber(8)))).isEmpty()
    }

    // Guards against entries that an operator believes to be in use.
    @Test
    fun `entries without any effect are found`() {
        val tagged = sound.routes.single()
        val bundle =
            sound.copy(
                customers = sound.customers + Customer(CustomerId("c2"), 1_000, 9_000),
                models = sound.models + Model(ModelName("spare"), WeightsVersion("v1")),
                endpoints = sound.endpoints + (5..7).map { engine("e$it", ModelName("spare")) },
                routes = listOf(tagged.copy(claimOutage = ClaimOutagePolicy.RUN_WITHOUT_CLAIM)),
            )
        expectThat(BundleReview.findings(bundle).map { it.substringBefore(':') }).containsExactly(
            "customers[c2].keys",
            "models[spare]",
            "endpoints[e5]",
            "endpoints[e6]",
            "endpoints[e7]",
            "routes[tag].claimOutage",
        )
    }

    // Guards against a bundle that is valid, but can't serve what it promises.
    @Test
    fun `limits that contradict each other are found`() {
        val slow = Customer(CustomerId("c3"), 10, 9_000, keys = listOf(KeyDirectory.digestOf("k3")))
        val bundle = sound.copy(customers = listOf(slow), rollout = RolloutLimits(maxConcurrentLoads = 4))
        expectThat(BundleReview.findings(bundle).map { it.substringBefore(':') })
            .containsExactly("customers[c3].tokensPerSecond", "rollout.maxConcurrentLoads")
    }

    // Guards against a publication by which callers lose access unnoticed.
    @Test
    fun `what callers lose against the bundle in force is found`() {
        val old = sound.copy(customers = sound.customers + Customer(CustomerId("c4"), 1_000, 9_000))
        val new =
            sound.copy(
                customers = listOf(sound.customers.single().copy(keys = emptyList())),
                endpoints = sound.endpoints.take(1),
                routes = listOf(sound.routes.single().copy(id = RouteId("label"))),
            )
        expectThat(BundleReview.risks(old, new).map { it.substringBefore(':') })
            .containsExactly("number", "customers[c1].keys", "customers[c4]", "routes[tag]", "models[grade]")
    }
}
