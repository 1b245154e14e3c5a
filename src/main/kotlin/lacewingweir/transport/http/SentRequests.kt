package lacewingweir.transport.http

/**
 * Remembers the ids of the requests that were sent to each address, so that a response to another request can be told
 * from an answer with a wrong id. The oldest ids are forgotten.
 */
internal class SentRequests(
    private val capacity: Int = DEFAULT_CAPACITY,
) {
    private val hashes = LinkedHashSet<Int>()

    @Synchronized
    fun add(
        address: String,
        id: String,
    ) {
        hashes += hash(address, id)
        if (hashes.size > capacity) hashes.remove(hashes.first())
    }

    @Synchronized
    fun contains(
        address: String,
        id: String,
    ): Boolean = hash(address, id) in hashes

    private fun hash(
        address: String,
        id: String,
    ) = address.hashCode() * HASH_MULTIPLIER + id.hashCode()

    private companion object {
        /** About a megabyte. */
        const val DEFAULT_CAPACITY: Int = 16_384
        const val HASH_MULTIPLIER: Int = 31
    }
}
