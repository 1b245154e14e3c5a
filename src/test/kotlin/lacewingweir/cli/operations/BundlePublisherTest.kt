package lacewingweir.cli.operations

import kotlinx.coroutines.runBlocking
import lacewingweir.coordination.bundle.BundleAgent
import lacewingweir.coordination.store.FakeConfigStore
import lacewingweir.protocol.bundle.BundleText
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.SignedBundle
import lacewingweir.state.bundle.SignedBundleCodec
import lacewingweir.state.id.BundleNumber
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo

internal class BundlePublisherTest {
    private val store = FakeConfigStore()
    private val publisher = BundlePublisher(store, retryMillis = 1)

    private fun signed(
        number: Long,
        operation: String,
    ): SignedBundle {
        val bundle = Bundle(BundleNumber(number), listOf(), listOf(), listOf(), listOf())
        return SignedBundle(BundleText.canonical(bundle), "", "alice", operation)
    }

    private fun publish(
        number: Long,
        operation: String,
    ): PublishResult =
        runBlocking {
            publisher.publish(signed(number, operation), BundleNumber(number), BundleNumber(number - 1))
        }

    private fun held(): SignedBundle? = store.value(BundleAgent.STORE_KEY)?.let { SignedBundleCodec.decode(it) }

    private fun put(bundle: SignedBundle) = store.put(BundleAgent.STORE_KEY, SignedBundleCodec.encode(bundle))

    // Guards against an operator whose change is silently overwritten by another's.
    @Test
    fun `of two racing operators one gets a conflict`() {
        expectThat(publish(1, "first")).isEqualTo(PublishResult.Published)
        store.beforeWrite = { put(signed(2, "faster")) }
        expectThat(publish(2, "slower")).isA<PublishResult.Conflict>()
        expectThat(held()?.operationId).isEqualTo("faster")
        expectThat(publish(9, "gap")).isA<PublishResult.Conflict>()
    }

    // Guards against a failure report, or a second publication, of a change that took effect.
    @Test
    fun `a lost answer after the effect is settled by reading back`() {
        store.loseAnswers = 1
        expectThat(publish(1, "first")).isEqualTo(PublishResult.Published)
        expectThat(held()?.operationId).isEqualTo("first")
        expectThat(publish(1, "first")).isEqualTo(PublishResult.Published)
        expectThat(publish(1, "other")).isA<PublishResult.Conflict>()
    }

    @Test
    fun `a lost answer is unknown while the store can't be read and when a later bundle hides it`() {
        store.loseAnswers = 1
        store.afterWrite = { store.down = true }
        expectThat(publish(1, "first")).isA<PublishResult.Unknown>()
        store.down = false
        store.loseAnswers = 1
        store.afterWrite = { put(signed(3, "later")) }
        expectThat(publish(2, "hidden")).isA<PublishResult.Unknown>()
    }

    @Test
    fun `a store that is down from the start is unreachable`() {
        store.down = true
        expectThat(publish(1, "first")).isA<PublishResult.Unreachable>()
    }
}
