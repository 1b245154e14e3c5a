package lacewingweir.protocol.json

/** Result of validating a document. */
public sealed interface Validated<out T> {
    /** The document is valid; [value] is its content. */
    public data class Valid<out T>(
        val value: T,
    ) : Validated<T>

    /** The document is invalid. [errors] has at least one error, at most one for each path, in order of detection. */
    public data class Invalid(
        val errors: List<ValidationError>,
    ) : Validated<Nothing>
}
