package lacewingweir.protocol.peer

/**
 * Checks the structure of a CBOR item (RFC 8949) before it is decoded: nesting depth, and that every declared length
 * fits into the remaining input.
 */
internal object CborValidator {
    private const val MAX_DEPTH = 16
    private const val MAJOR_SHIFT = 5
    private const val INFO_MASK = 0x1f
    private const val INFO_ONE_BYTE = 24
    private const val INFO_EIGHT_BYTES = 27
    private const val INFO_INDEFINITE = 31
    private const val BREAK = 0xff
    private const val BYTE_MASK = 0xff
    private const val BYTE_BITS = 8

    /** Describes the first fault of [bytes], or null if it is exactly one well-formed item. */
    fun findError(bytes: ByteArray): String? {
        val scanner = Scanner(bytes)
        val fault = scanner.item(0)
        return fault ?: if (scanner.position != bytes.size) "bytes after the item" else null
    }

    private class Scanner(
        private val bytes: ByteArray,
    ) {
        var position: Int = 0

        private val remaining: Int get() = bytes.size - position

        fun item(depth: Int): String? {
            if (depth > MAX_DEPTH) return "nested too deeply"
            if (remaining < 1) return "truncated item"
            val head = bytes[position++].toInt() and BYTE_MASK
            val info = head and INFO_MASK
            val major = head shr MAJOR_SHIFT
            return if (info == INFO_INDEFINITE) indefinite(major, depth) else definite(major, info, depth)
        }

        private fun definite(
            major: Int,
            info: Int,
            depth: Int,
        ): String? {
            if (info > INFO_EIGHT_BYTES) return "reserved length"
            val argument = argument(info) ?: return "truncated length"
            return when (major) {
                MAJOR_BYTES, MAJOR_TEXT -> skip(argument)
                MAJOR_ARRAY -> items(argument, depth)
                MAJOR_MAP -> if (argument > remaining) "map longer than input" else items(argument * 2, depth)
                MAJOR_TAG -> item(depth + 1)
                else -> null
            }
        }

        private fun skip(length: Long): String? {
            if (length > remaining) return "string longer than input"
            position += length.toInt()
            return null
        }

        private fun items(
            count: Long,
            depth: Int,
        ): String? {
            if (count > remaining) return "collection longer than input"
            var left = count
            while (left-- > 0) {
                item(depth + 1)?.let { return it }
            }
            return null
        }

        private fun indefinite(
            major: Int,
            depth: Int,
        ): String? {
            if (major < MAJOR_BYTES || major > MAJOR_MAP) return "indefinite length not allowed"
            while (remaining > 0) {
                if (bytes[position].toInt() and BYTE_MASK == BREAK) {
                    position++
                    return null
                }
                item(depth + 1)?.let { return it }
            }
            return "missing end of indefinite item"
        }

        /** Reads the argument of an initial byte; null if it is truncated. */
        private fun argument(info: Int): Long? {
            if (info < INFO_ONE_BYTE) return info.toLong()
            val length = 1 shl (info - INFO_ONE_BYTE)
            if (remaining < length) return null
            var value = 0L
            repeat(length) { value = (value shl BYTE_BITS) or (bytes[position++].toLong() and BYTE_MASK.toLong()) }
            // Float bits and lengths of 2^63 and more: a length must stay larger than any input.
            return if (value < 0) Long.MAX_VALUE else value
        }
    }

    private const val MAJOR_BYTES = 2
    private const val MAJOR_TEXT = 3
    private const val MAJOR_ARRAY = 4
    private const val MAJOR_MAP = 5
    private const val MAJOR_TAG = 6
}
