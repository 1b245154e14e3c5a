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

/** Writes key records to the store. A record that is there already as wanted counts as written. */
internal class KeyWriter(
    private val store: ConfigStore,
    private val retryMillis: Long = 300,
) {
    /** Writes a grant of [digest] to [customer]. */
    suspend fun grant(
        digest: KeyDigest,
        customer: CustomerId,
    ): KeyWriteResult = write(digest) { KeyRecord(digest, customer, KeyStatus.GRANTED) }

    /** Writes the withdrawal of [digest], also if the store does not know the key. */
    suspend fun withdraw(digest: KeyDigest): KeyWriteResult =
        write(digest) { held -> KeyRecord(digest, held?.customer ?: UNKNOWN_CUSTOMER, KeyStatus.WITHDRAWN) }

    private suspend fun write(
        digest: KeyDigest,
        wanted: (held: KeyRecord?) -> KeyRecord,
    ): KeyWriteResult {
        val key = KeyRecordCodec.STORE_PREFIX + digest.value
        var sentBefore = false
        var reason = ""
        repeat(ATTEMPTS) { attempt ->
            if (attempt > 0) delay(retryMillis)
            val read = store.get(key)
            if (read is StoreResult.Ok) {
                val held = read.value?.let { KeyRecordCodec.decode(it.value) }
                val record = wanted(held)
                if (held == record) return KeyWriteResult.Written
                if (held?.status == KeyStatus.WITHDRAWN) return KeyWriteResult.AlreadyWithdrawn
                val revision = read.value?.modRevision ?: 0
                val sent = store.compareAndSet(key, revision, KeyRecordCodec.encode(record))
                if (sent == StoreResult.Ok(true)) return KeyWriteResult.Written
                if (sent is StoreResult.Unknown) sentBefore = true
                reason = sent.toString()
            } else {
                reason = read.toString()
            }
        }
        return if (sentBefore) KeyWriteResult.Unknown(reason) else KeyWriteResult.Unreachable(reason)
    }

    companion object {
        private const val ATTEMPTS: Int = 5
        private const val KEY_BYTES: Int = 32
        private val UNKNOWN_CUSTOMER = CustomerId("unknown")

        /** A new key with 256 random bits. */
        fun newKey(random: SecureRandom = SecureRandom()): String {
            val bytes = ByteArray(KEY_BYTES).also(random::nextBytes)
            return "lw-" + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)
        }

        /** The digest that is stored in place of [key]. */
        fun digestOf(key: String): KeyDigest = KeyDirectory.digestOf(key)
    }
}
