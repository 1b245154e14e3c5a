package lacewingweir.coordination.membership

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import lacewingweir.coordination.peer.PeerAddress
import lacewingweir.coordination.store.ConfigStore
import lacewingweir.coordination.store.StoreEntry
import lacewingweir.coordination.store.StoreResult

/** Registers this instance in the configuration store and detects a later run of the same name. */
internal class InstanceRegistration(
    private val store: ConfigStore,
    private val self: () -> PeerAddress,
) {
    /** The revision of this instance's record once it was read back, or null while it isn't registered. */
    @Volatile
    var registeredRevision: Long? = null
        private set

    /** Whether a record of this name existed before this run registered, or null until the store was read. */
    @Volatile
    var hadEarlierRun: Boolean? = null
        private set

    /** Writes the record of this instance unless it exists. After a failure or a lost response, call this again. */
    suspend fun register() {
        val address = self()
        val key = PREFIX + address.name
        val before = store.get(key) as? StoreResult.Ok ?: return
        val existing = before.value
        if (existing != null && decode(existing) == address) {
            registeredRevision = existing.modRevision
            return
        }
        if (hadEarlierRun == null) hadEarlierRun = existing != null
        val bytes = json.encodeToString(PeerAddress.serializer(), address).toByteArray()
        store.compareAndSet(key, existing?.modRevision ?: 0, bytes)
        val after = (store.get(key) as? StoreResult.Ok)?.value ?: return
        if (decode(after) == address) registeredRevision = after.modRevision
    }

    /**
     * Returns whether [entry], a polled record of this name, was written by a later run of the same name. If it is an
     * older record of another run, marks this instance as unregistered, so that the caller registers it again.
     */
    fun isSupersededBy(entry: StoreEntry): Boolean {
        val registered = registeredRevision ?: return false
        if (decode(entry)?.incarnation == self().incarnation) return false
        if (entry.modRevision > registered) return true
        // An older record comes either from a store that was restored from an older copy, or from a poll that was sent
        // before the registration. Registering again is necessary in the first case and harmless in the second.
        registeredRevision = null
        return false
    }

    companion object {
        const val PREFIX = "/lw/instances/"
        private val json = Json { ignoreUnknownKeys = true }

        fun decode(entry: StoreEntry): PeerAddress? =
            try {
                json.decodeFromString(PeerAddress.serializer(), entry.value.decodeToString())
            } catch (_: SerializationException) {
                null
            } catch (_: IllegalArgumentException) {
                null
            }
    }
}
