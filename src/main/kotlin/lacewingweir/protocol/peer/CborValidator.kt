package lacewingweir.protocol.peer

/**
 * Checks that a CBOR data item (RFC 8949) is well-formed before it is decoded, that it is not nested too deeply, and
 * that each declared length fits into the remaining input.
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

    /** Returns a description of the first error in [bytes], or `null` if it is exactly one well-formed data item. */
    fun findError(bytes: ByteArray): String? {
        val scanner = Scanner(bytes)
        val error = scanner.scanItem(0)
        return error ?: if (scanner.position != bytes.size) "unexpected bytes after the data item" else null
    }

    private class Scanner(
        private val bytes: ByteArray,
    ) {
        var position: Int = 0

        private val remaining: Int get() = bytes.size - position

        fun scanItem(depth: Int): String? {
            if (depth > MAX_DEPTH) return "nested too deeply"
            if (remaining < 1) return "truncated data item"
            val initialByte = bytes[position++].toInt() and BYTE_MASK
            val info = initialByte and INFO_MASK
            val major = initialByte shr MAJOR_SHIFT
            return if (info == INFO_INDEFINITE) scanIndefinite(major, depth) else scanDefinite(major, info, depth)
        }

        private fun scanDefinite(
            major: Int,
            info: Int,
            depth: Int,
        ): String? {
            if (info > INFO_EIGHT_BYTES) return "reserved length"
            val argument = readArgument(info) ?: return "truncated length"
            return when (major) {
                MAJOR_BYTES, MAJOR_TEXT -> skip(argument)
                MAJOR_ARRAY -> scanItems(argument, depth)
                MAJOR_MAP -> if (argument > remaining) "map exceeds the input" else scanItems(argument * 2, depth)
                MAJOR_TAG -> scanItem(depth + 1)
                else -> null
            }
        }

        private fun skip(byteCount: Long): String? {
            if (byteCount > remaining) return "string exceeds the input"
            position += byteCount.toInt()
            return null
        }

        private fun scanItems(
            count: Long,
            depth: Int,
        ): String? {
            if (count > remaining) return "array or map exceeds the input"
            var itemsLeft = count
            while (itemsLeft-- > 0) {
                scanItem(depth + 1)?.let { return it }
            }
            return null
        }

        private fun scanIndefinite(
            major: Int,
            depth: Int,
        ): String? {
            if (major < MAJOR_BYTES || major > MAJOR_MAP) return "indefinite length not allowed"
            while (remaining > 0) {
                if (bytes[position].toInt() and BYTE_MASK == BREAK) {
                    position++
                    return null
                }
                scanItem(depth + 1)?.let { return it }
            }
            return "missing break of an indefinite-length item"
        }

        /** Reads the argument of an initial byte. Returns `null` if it is truncated. */
        private fun readArgument(info: Int): Long? {
            if (info < INFO_ONE_BYTE) return info.toLong()
            val byteCount = 1 shl (info - INFO_ONE_BYTE)
            if (remaining < byteCount) return null
            var value = 0L
            repeat(byteCount) { value = (value shl BYTE_BITS) or (bytes[position++].toLong() and BYTE_MASK.toLong()) }
            // Lengths of 2^63 or more, and the bits of some floats, are negative. A length must exceed any input size.
            return if (value < 0) Long.MAX_VALUE else value
        }
    }

    private const val MAJOR_BYTES = 2
    private const val MAJOR_TEXT = 3
    private const val MAJOR_ARRAY = 4
    private const val MAJOR_MAP = 5
    private const val MAJOR_TAG = 6
}
