package lacewingweir.coordination.membership

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import lacewingweir.coordination.store.ConfigStore
import lacewingweir.coordination.store.StoreEntry
import lacewingweir.coordination.store.StoreResult
import lacewingweir.state.membership.EpochDocument

/** Reads and writes the epoch document in the configuration store. */
internal class EpochStore(
    private val store: ConfigStore,
) {
    /** The stored document and its revision; [document] is null and [modRevision] is 0 if there is no entry. */
    class Stored(
        val document: EpochDocument?,
        val modRevision: Long,
    )

    enum class WriteOutcome {
        WRITTEN,
        CONFIRMED_BY_READ_BACK,
        CONFLICT,
        FAILED,
    }

    /** Returns the stored document, or null if the store can't be read or its document is invalid. */
    suspend fun read(): Stored? {
        val result = store.get(KEY) as? StoreResult.Ok ?: return null
        val entry = result.value ?: return Stored(null, 0)
        return decode(entry)?.let { Stored(it, entry.modRevision) }
    }

    /**
     * Writes [document] if the entry is still at [expectedModRevision]. If the outcome of the write is unknown, reads
     * the entry back.
     */
    suspend fun write(
        expectedModRevision: Long,
        document: EpochDocument,
    ): WriteOutcome {
        val bytes = json.encodeToString(EpochDocument.serializer(), document).toByteArray()
        return when (val result = store.compareAndSet(KEY, expectedModRevision, bytes)) {
            is StoreResult.Ok -> if (result.value) WriteOutcome.WRITTEN else WriteOutcome.CONFLICT
            is StoreResult.Unavailable -> WriteOutcome.FAILED
            is StoreResult.Unknown -> resolveUnknownOutcome(document)
        }
    }

    // If another instance wrote an equal document, the effect is the same, so comparing the documents is enough.
    private suspend fun resolveUnknownOutcome(document: EpochDocument): WriteOutcome {
        repeat(READ_BACK_ATTEMPTS) {
            val stored = read()
            if (stored != null) {
                return if (stored.document == document) WriteOutcome.CONFIRMED_BY_READ_BACK else WriteOutcome.CONFLICT
            }
        }
        return WriteOutcome.FAILED
    }

    companion object {
        const val KEY = "/lw/epoch"
        private const val READ_BACK_ATTEMPTS = 3
        private val json = Json { ignoreUnknownKeys = true }

        fun decode(entry: StoreEntry): EpochDocument? =
            try {
                json.decodeFromString(EpochDocument.serializer(), entry.value.decodeToString())
            } catch (_: SerializationException) {
                null
            } catch (_: IllegalArgumentException) {
                null
            }
    }
}
