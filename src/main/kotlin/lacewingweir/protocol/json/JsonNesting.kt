package lacewingweir.protocol.json

/**
 * Computes the nesting depth of JSON text without parsing it.
 *
 * The parser recurses once for each open bracket, so deeply nested text must be rejected before it is parsed.
 */
internal object JsonNesting {
    /** Returns the maximum depth of brackets outside strings in a text whose [length] characters [charAt] returns. */
    inline fun maxNestingDepth(
        length: Int,
        charAt: (Int) -> Char,
    ): Int {
        var depth = 0
        var maxNestingDepth = 0
        var inString = false
        var escaped = false
        for (index in 0 until length) {
            val char = charAt(index)
            when {
                escaped -> escaped = false
                inString && char == '\\' -> escaped = true
                char == '"' -> inString = !inString
                inString -> Unit
                char == '{' || char == '[' -> maxNestingDepth = maxOf(maxNestingDepth, ++depth)
                char == '}' || char == ']' -> depth--
            }
        }
        return maxNestingDepth
    }

    /**
     * Returns the number of values in a text, or a higher number if it is malformed. Each value takes up several times
     * its length when it is parsed.
     */
    inline fun maxValues(
        length: Int,
        charAt: (Int) -> Char,
    ): Int = 1 + (0 until length).count { charAt(it) in VALUE_STARTS }

    const val VALUE_STARTS: String = "[{,"
}
