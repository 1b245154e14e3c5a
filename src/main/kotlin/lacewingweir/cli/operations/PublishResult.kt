package lacewingweir.cli.operations

/** Outcome of publishing a bundle. */
internal sealed interface PublishResult {
    /** The store holds the bundle. */
    data object Published : PublishResult

    /** Another operator was faster, or the store does not hold what was expected. Nothing was published. */
    data class Conflict(
        val reason: String,
    ) : PublishResult

    /** The bundle may have been published. */
    data class Unknown(
        val reason: String,
    ) : PublishResult

    /** The store could not be reached. Nothing was published. */
    data class Unreachable(
        val reason: String,
    ) : PublishResult
}
