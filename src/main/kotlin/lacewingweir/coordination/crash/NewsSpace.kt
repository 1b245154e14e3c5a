package lacewingweir.coordination.crash

import lacewingweir.state.crash.EndpointCrash
import lacewingweir.state.id.SuspectId

/** The space in a datagram of news, which must fit in one packet, because fragments are lost more often. */
internal class NewsSpace {
    private var freeBytes = MAX_BYTES

    /** Returns as many of [entries] as fit, the latest ones, in their order. [bytes] is the size of one. */
    fun <T> latest(
        entries: List<T>,
        bytes: (T) -> Int,
    ): List<T> =
        entries.takeLastWhile { entry ->
            val needed = bytes(entry)
            (needed <= freeBytes).also { fits -> if (fits) freeBytes -= needed }
        }

    companion object {
        /** A packet has 1,500 bytes, of which headers and the other fields of a datagram need some. */
        private const val MAX_BYTES: Int = 1_280
        private const val ID_OVERHEAD_BYTES: Int = 2
        private const val SUSPECT_OVERHEAD_BYTES: Int = 12
        private const val CRASH_OVERHEAD_BYTES: Int = 12

        /** The encoded size of an id; ids are ASCII. */
        fun bytes(id: SuspectId): Int = id.value.length + ID_OVERHEAD_BYTES

        /** The greatest encoded size of a crash. */
        fun bytes(crash: EndpointCrash): Int =
            CRASH_OVERHEAD_BYTES + crash.suspects.sumOf { bytes(it.id) + SUSPECT_OVERHEAD_BYTES }
    }
}
