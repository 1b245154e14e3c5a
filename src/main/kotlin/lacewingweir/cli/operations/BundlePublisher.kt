/** Changes that operators make in the store, each settled when an answer is lost. */
package lacewingweir.cli.operations

import kotlinx.coroutines.delay
import lacewingweir.coordination.bundle.BundleAgent
import lacewingweir.coordination.store.ConfigStore
import lacewingweir.coordination.store.StoreEntry
import lacewingweir.coordination.store.StoreResult
import lacewingweir.protocol.bundle.BundleText
import lacewingweir.protocol.json.Validated
import lacewingweir.state.bundle.SignedBundle
import lacewingweir.state.bundle.SignedBundleCodec
import lacewingweir.state.id.BundleNumber

/**
 * Publishes signed bundles by compare-and-set on the store's key.
 *
 * A lost answer is settled by reading the key back and comparing the operation id. If the key did not change, the same
 * write is sent again: it carries the same expected revision, so at most one of the two takes effect.
 */
internal class BundlePublisher(
    private val store: ConfigStore,
    private val retryMillis: Long = 300,
) {
    /** Publishes [signed] with [number] if the store holds [expected], which is zero for a store without a bundle. */
    suspend fun publish(
        signed: SignedBundle,
        number: BundleNumber,
        expected: BundleNumber,
    ): PublishResult {
        var sentBefore = false
        var reason = ""
        repeat(ATTEMPTS) { attempt ->
            if (attempt > 0) delay(retryMillis)
            val read = store.get(BundleAgent.STORE_KEY)
            if (read is StoreResult.Ok) {
                settle(read.value, signed, number, expected, sentBefore)?.let { return it }
                val revision = read.value?.modRevision ?: 0
                when (
                    val sent =
                        store.compareAndSet(
                            BundleAgent.STORE_KEY,
                            revision,
                            SignedBundleCodec.encode(signed),
                        )
                ) {
                    StoreResult.Ok(true) -> return PublishResult.Published
                    is StoreResult.Unknown -> sentBefore = true
                    is StoreResult.Unavailable -> reason = sent.reason
                    is StoreResult.Ok -> Unit // The key changed since it was read; the next attempt reads who won.
                }
            } else {
                reason = read.toString()
            }
        }
        return if (sentBefore) PublishResult.Unknown(reason) else PublishResult.Unreachable(reason)
    }

    /** The result that the store's present entry determines, or null if the write has to be sent. */
    private fun settle(
        entry: StoreEntry?,
        signed: SignedBundle,
        number: BundleNumber,
        expected: BundleNumber,
        sentBefore: Boolean,
    ): PublishResult? {
        val held = entry?.let { SignedBundleCodec.decode(it.value) }
        val heldNumber = numberOf(held)
        return when {
            held == signed -> PublishResult.Published
            entry != null && heldNumber == null ->
                PublishResult.Conflict(
                    "the store holds something else than a bundle",
                )
            (heldNumber ?: BundleNumber.NONE) == expected -> null
            sentBefore && heldNumber != null && heldNumber > number ->
                PublishResult.Unknown("number $heldNumber was published meanwhile, maybe after this one")
            else -> PublishResult.Conflict("the store holds number ${heldNumber ?: "none"}, expected $expected")
        }
    }

    private fun numberOf(held: SignedBundle?): BundleNumber? {
        val checked = held?.let { BundleText.parse(it.payload) }
        return (checked as? Validated.Valid)?.value?.number
    }

    private companion object {
        const val ATTEMPTS: Int = 10
    }
}
