package lacewingweir.protocol.json

/** Outcome of reading a document. */
public sealed interface Checked<out T> {
    /** The document has no mistake. */
    public data class Valid<out T>(
        val value: T,
    ) : Checked<T>

    /** The document has at least one mistake; [mistakes] lists all that were found, in document order. */
    public data class Invalid(
        val mistakes: List<Mistake>,
    ) : Checked<Nothing>
}
