package lacewingweir.protocol.json

/** Nesting of JSON text, found without parsing it: the parser recurses once for each open bracket. */
internal object JsonNesting {
    /** The greatest number of brackets open at once outside of strings among [length] characters of [charAt]. */
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
}
