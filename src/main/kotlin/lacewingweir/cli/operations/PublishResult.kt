package lacewingweir.cli.operations

/** The result of publishing a bundle. */
internal sealed interface PublishResult {
    /** The store holds the bundle. */
    data object Published : PublishResult

    /** The store does not hold the expected bundle, perhaps because of another operator. Nothing was published. */
    data class Conflict(
        val reason: String,
    ) : PublishResult

    /** The bundle may or may not have been published. */
    data class Unknown(
        val reason: String,
    ) : PublishResult

    /** The bundle was not published, usually because the store could not be reached. */
    data class Unreachable(
        val reason: String,
    ) : PublishResult
}
