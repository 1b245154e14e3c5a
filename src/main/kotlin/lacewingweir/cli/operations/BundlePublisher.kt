/** Writes operators' changes to the store. If the answer to a write is lost, the key is read to find the outcome. */
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
 * Publishes signed bundles by compare-and-set on the bundle's key in the store.
 *
 * If the answer to a write is lost, the key is read and its content compared with the signed bundle, which includes a
 * unique operation id. If the key has not changed, the same write is sent again with the same expected revision, so at
 * most one of the two writes takes effect.
 */
internal class BundlePublisher(
    private val store: ConfigStore,
    private val retryMillis: Long = 300,
) {
    /** Publishes [signed] with number [number] if the store's bundle has number [expected]; zero means no bundle. */
    suspend fun publish(
        signed: SignedBundle,
        number: BundleNumber,
        expected: BundleNumber,
    ): PublishResult {
        var outcomeUnknown = false
        var reason = ""
        repeat(ATTEMPTS) { attempt ->
            if (attempt > 0) delay(retryMillis)
            val readResult = store.get(BundleAgent.STORE_KEY)
            if (readResult is StoreResult.Ok) {
                outcomeOf(readResult.value, signed, number, expected, outcomeUnknown)?.let { return it }
                val revision = readResult.value?.modRevision ?: 0
                when (
                    val writeResult =
                        store.compareAndSet(
                            BundleAgent.STORE_KEY,
                            revision,
                            SignedBundleCodec.encode(signed),
                        )
                ) {
                    StoreResult.Ok(true) -> return PublishResult.Published
                    is StoreResult.Unknown -> outcomeUnknown = true
                    is StoreResult.Unavailable -> reason = writeResult.reason
                    is StoreResult.Ok -> Unit // Another write changed the key; the next attempt reads it.
                }
            } else {
                reason = readResult.toString()
            }
        }
        return if (outcomeUnknown) PublishResult.Unknown(reason) else PublishResult.Unreachable(reason)
    }

    /** Returns the outcome if [entry], the store's current entry, determines it, or null if the write must be sent. */
    private fun outcomeOf(
        entry: StoreEntry?,
        signed: SignedBundle,
        number: BundleNumber,
        expected: BundleNumber,
        outcomeUnknown: Boolean,
    ): PublishResult? {
        val stored = entry?.let { SignedBundleCodec.decode(it.value) }
        val storedNumber = numberOf(stored)
        return when {
            stored == signed -> PublishResult.Published
            entry != null && storedNumber == null ->
                PublishResult.Conflict(
                    "the store holds something other than a bundle",
                )
            (storedNumber ?: BundleNumber.NONE) == expected -> null
            outcomeUnknown && storedNumber != null && storedNumber > number ->
                PublishResult.Unknown("number $storedNumber was published in the meantime, possibly after this one")
            else -> PublishResult.Conflict("the store holds number ${storedNumber ?: "none"}, expected $expected")
        }
    }

    private fun numberOf(stored: SignedBundle?): BundleNumber? {
        val checked = stored?.let { BundleText.parse(it.payload) }
        return (checked as? Validated.Valid)?.value?.number
    }

    private companion object {
        const val ATTEMPTS: Int = 10
    }
}
