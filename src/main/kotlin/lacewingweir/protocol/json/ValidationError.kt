/** Checking of JSON documents that operators write: every mistake is reported, each with its path. */
package lacewingweir.protocol.json

/** One mistake in a document: where it is, what was found there and what would be allowed. */
public data class ValidationError(
    val path: String,
    val found: String,
    val allowed: String,
) {
    override fun toString(): String = "$path: found $found, allowed: $allowed"
}
