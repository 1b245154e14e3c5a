package lacewingweir.transport.http

/**
 * Remembers the ids of the requests to each address that are over, so that an extra response to one of them can be told
 * from an answer with a wrong id: there is none to a request that hasn't been answered yet.
 *
 * The oldest ids are forgotten.
 */
internal class EndedRequests(
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
