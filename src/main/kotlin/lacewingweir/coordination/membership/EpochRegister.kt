package lacewingweir.coordination.membership

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import lacewingweir.coordination.store.ConfigStore
import lacewingweir.coordination.store.StoreEntry
import lacewingweir.coordination.store.StoreResult
import lacewingweir.state.membership.EpochDocument

/** The epoch document in the store. */
internal class EpochRegister(
    private val store: ConfigStore,
) {
    class Stored(
        val document: EpochDocument?,
        val modRevision: Long,
    )

    enum class WriteOutcome {
        WRITTEN,
        WRITTEN_READ_BACK,
        CONFLICT,
        FAILED,
    }

    /** Reads the document; null if the store can't be read or holds no valid document. */
    suspend fun read(): Stored? {
        val result = store.get(KEY) as? StoreResult.Ok ?: return null
        val entry = result.value ?: return Stored(null, 0)
        return decode(entry)?.let { Stored(it, entry.modRevision) }
    }

    /** Writes [document] over [expectedModRevision]. An unknown outcome is settled by reading back. */
    suspend fun write(
        expectedModRevision: Long,
        document: EpochDocument,
    ): WriteOutcome {
        val bytes = json.encodeToString(EpochDocument.serializer(), document).toByteArray()
        return when (val result = store.compareAndSet(KEY, expectedModRevision, bytes)) {
            is StoreResult.Ok -> if (result.value) WriteOutcome.WRITTEN else WriteOutcome.CONFLICT
            is StoreResult.Unavailable -> WriteOutcome.FAILED
            is StoreResult.Unknown -> settle(document)
        }
    }

    // An equal document of another writer has the same effect as the own one, so equality settles the question.
    private suspend fun settle(document: EpochDocument): WriteOutcome {
        repeat(READ_BACK_TRIES) {
            val stored = read()
            if (stored != null) {
                return if (stored.document == document) WriteOutcome.WRITTEN_READ_BACK else WriteOutcome.CONFLICT
            }
        }
        return WriteOutcome.FAILED
    }

    companion object {
        const val KEY = "/lw/epoch"
        private const val READ_BACK_TRIES = 3
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
