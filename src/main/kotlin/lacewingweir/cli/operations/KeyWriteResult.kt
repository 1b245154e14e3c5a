package lacewingweir.cli.operations

/** Outcome of writing a key record. */
internal sealed interface KeyWriteResult {
    /** The store holds the record. */
    data object Written : KeyWriteResult

    /** The key was withdrawn before, which is for good. */
    data object AlreadyWithdrawn : KeyWriteResult

    /** The record may have been written. */
    data class Unknown(
        val reason: String,
    ) : KeyWriteResult

    /** The store could not be reached. Nothing was written. */
    data class Unreachable(
        val reason: String,
    ) : KeyWriteResult
}
