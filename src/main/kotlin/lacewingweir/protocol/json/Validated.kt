package lacewingweir.protocol.json

/** Outcome of reading a document. */
public sealed interface Validated<out T> {
    /** The document has no mistake. */
    public data class Valid<out T>(
        val value: T,
    ) : Validated<T>

    /** The document has at least one mistake; [errors] lists all that were found, in document order. */
    public data class Invalid(
        val errors: List<ValidationError>,
    ) : Validated<Nothing>
}
