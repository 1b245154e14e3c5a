package lacewingweir.coordination.membership

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import lacewingweir.coordination.peer.PeerAddress
import lacewingweir.coordination.store.ConfigStore
import lacewingweir.coordination.store.StoreEntry
import lacewingweir.coordination.store.StoreResult

/** The record of this instance in the store. */
internal class InstanceRegister(
    private val store: ConfigStore,
    private val self: () -> PeerAddress,
) {
    /** Revision of the own record once it was read back, or null while it isn't registered. */
    @Volatile
    var registeredRevision: Long? = null
        private set

    /** Whether a record of this name existed before; null until the store was read. */
    @Volatile
    var hadPredecessor: Boolean? = null
        private set

    /** Writes the own record unless it is there. Later calls continue after a failure or a lost answer. */
    suspend fun register() {
        val address = self()
        val key = PREFIX + address.name
        val before = store.get(key) as? StoreResult.Ok ?: return
        val present = before.value
        if (present != null && decode(present) == address) {
            registeredRevision = present.modRevision
            return
        }
        if (hadPredecessor == null) hadPredecessor = present != null
        val bytes = json.encodeToString(PeerAddress.serializer(), address).toByteArray()
        store.compareAndSet(key, present?.modRevision ?: 0, bytes)
        val after = (store.get(key) as? StoreResult.Ok)?.value ?: return
        if (decode(after) == address) registeredRevision = after.modRevision
    }

    /** Takes a polled own record. Returns whether a later run of the same name has registered. */
    fun observeOwn(entry: StoreEntry): Boolean {
        val registered = registeredRevision ?: return false
        if (decode(entry)?.incarnation == self().incarnation) return false
        if (entry.modRevision > registered) return true
        // An older record can only come from a store that was restored from an older copy, or from a poll that was
        // sent before the registration. Registering again is right for the first and harmless for the second.
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
