/** Validation of JSON documents that operators write. All errors of a document are reported, each with its path. */
package lacewingweir.protocol.json

/** An invalid value in a document: its path, the value [found] there, and a description of the [allowed] values. */
public data class ValidationError(
    val path: String,
    val found: String,
    val allowed: String,
) {
    override fun toString(): String = "$path: found $found, allowed: $allowed"
}
