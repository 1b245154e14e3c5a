package lacewingweir.cli.operations

import kotlinx.coroutines.delay
import lacewingweir.coordination.store.ConfigStore
import lacewingweir.coordination.store.StoreResult
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.KeyDigest
import lacewingweir.state.keys.KeyDirectory
import lacewingweir.state.keys.KeyRecord
import lacewingweir.state.keys.KeyRecordCodec
import lacewingweir.state.keys.KeyStatus
import java.security.SecureRandom
import java.util.Base64

/** Writes key records to the store. A write succeeds without effect if the store already holds the same record. */
internal class KeyWriter(
    private val store: ConfigStore,
    private val retryMillis: Long = 300,
) {
    /** Grants the key with [digest] to [customer]. */
    suspend fun grant(
        digest: KeyDigest,
        customer: CustomerId,
    ): KeyWriteResult = write(digest) { KeyRecord(digest, customer, KeyStatus.GRANTED) }

    /** Withdraws the key with [digest], even if the store holds no record of it. */
    suspend fun withdraw(digest: KeyDigest): KeyWriteResult =
        write(digest) { stored -> KeyRecord(digest, stored?.customer ?: UNKNOWN_CUSTOMER, KeyStatus.WITHDRAWN) }

    private suspend fun write(
        digest: KeyDigest,
        createRecord: (stored: KeyRecord?) -> KeyRecord,
    ): KeyWriteResult {
        val storeKey = KeyRecordCodec.STORE_PREFIX + digest.value
        var outcomeUnknown = false
        var reason = ""
        repeat(ATTEMPTS) { attempt ->
            if (attempt > 0) delay(retryMillis)
            val readResult = store.get(storeKey)
            if (readResult is StoreResult.Ok) {
                val stored = readResult.value?.let { KeyRecordCodec.decode(it.value) }
                val record = createRecord(stored)
                if (stored == record) return KeyWriteResult.Written
                if (stored?.status == KeyStatus.WITHDRAWN) return KeyWriteResult.AlreadyWithdrawn
                val revision = readResult.value?.modRevision ?: 0
                val writeResult = store.compareAndSet(storeKey, revision, KeyRecordCodec.encode(record))
                if (writeResult == StoreResult.Ok(true)) return KeyWriteResult.Written
                if (writeResult is StoreResult.Unknown) outcomeUnknown = true
                reason = writeResult.toString()
            } else {
                reason = readResult.toString()
            }
        }
        return if (outcomeUnknown) KeyWriteResult.Unknown(reason) else KeyWriteResult.Unreachable(reason)
    }

    companion object {
        private const val ATTEMPTS: Int = 5
        private const val KEY_BYTES: Int = 32
        private val UNKNOWN_CUSTOMER = CustomerId("unknown")

        /** Returns a new key with 256 random bits. */
        fun newKey(random: SecureRandom = SecureRandom()): String {
            val bytes = ByteArray(KEY_BYTES).also(random::nextBytes)
            return "lw-" + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)
        }

        /** Returns the digest that is stored instead of [key]. */
        fun digestOf(key: String): KeyDigest = KeyDirectory.digestOf(key)
    }
}
