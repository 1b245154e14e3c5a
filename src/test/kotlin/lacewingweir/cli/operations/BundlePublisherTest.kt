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
        operationId: String,
    ): SignedBundle {
        val bundle = Bundle(BundleNumber(number), listOf(), listOf(), listOf(), listOf())
        return SignedBundle(BundleText.canonical(bundle), "", "alice", operationId)
    }

    private fun publish(
        number: Long,
        operationId: String,
    ): PublishResult =
        runBlocking {
            publisher.publish(signed(number, operationId), BundleNumber(number), BundleNumber(number - 1))
        }

    private fun storedBundle(): SignedBundle? = store.value(BundleAgent.STORE_KEY)?.let { SignedBundleCodec.decode(it) }

    private fun put(bundle: SignedBundle) = store.put(BundleAgent.STORE_KEY, SignedBundleCodec.encode(bundle))

    // Guards against publishing over a change that another operator made at the same time.
    @Test
    fun `one of two operators that publish at the same time gets a conflict`() {
        expectThat(publish(1, "first")).isEqualTo(PublishResult.Published)
        store.beforeWrite = { put(signed(2, "faster")) }
        expectThat(publish(2, "slower")).isA<PublishResult.Conflict>()
        expectThat(storedBundle()?.operationId).isEqualTo("faster")
        expectThat(publish(9, "gap")).isA<PublishResult.Conflict>()
    }

    // Guards against reporting a write that took effect as failed, and against publishing it twice.
    @Test
    fun `if the answer to a successful write is lost, the key is read to find the outcome`() {
        store.responsesToLose = 1
        expectThat(publish(1, "first")).isEqualTo(PublishResult.Published)
        expectThat(storedBundle()?.operationId).isEqualTo("first")
        expectThat(publish(1, "first")).isEqualTo(PublishResult.Published)
        expectThat(publish(1, "other")).isA<PublishResult.Conflict>()
    }

    @Test
    fun `the outcome is unknown if the store can't be read or a later bundle has replaced the entry`() {
        store.responsesToLose = 1
        store.afterWrite = { store.down = true }
        expectThat(publish(1, "first")).isA<PublishResult.Unknown>()
        store.down = false
        store.responsesToLose = 1
        store.afterWrite = { put(signed(3, "later")) }
        expectThat(publish(2, "hidden")).isA<PublishResult.Unknown>()
    }

    @Test
    fun `a store that is down from the start is reported as unreachable`() {
        store.down = true
        expectThat(publish(1, "first")).isA<PublishResult.Unreachable>()
    }
}
