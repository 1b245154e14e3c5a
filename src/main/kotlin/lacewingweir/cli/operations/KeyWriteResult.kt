package lacewingweir.cli.operations

/** The result of writing a key record. */
internal sealed interface KeyWriteResult {
    /** The store holds the record. */
    data object Written : KeyWriteResult

    /** The key was withdrawn before, which is permanent. Nothing was written. */
    data object AlreadyWithdrawn : KeyWriteResult

    /** The record may or may not have been written. */
    data class Unknown(
        val reason: String,
    ) : KeyWriteResult

    /** The record was not written, usually because the store could not be reached. */
    data class Unreachable(
        val reason: String,
    ) : KeyWriteResult
}
