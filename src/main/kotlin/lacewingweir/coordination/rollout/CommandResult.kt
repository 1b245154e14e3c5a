package lacewingweir.coordination.rollout

/** Outcome of a command to an engine. */
public sealed interface CommandResult {
    /** The engine accepted the command. */
    public data object Accepted : CommandResult

    /** The engine has seen a higher fencing number. */
    public data object Fenced : CommandResult

    /** The command failed or its outcome is unknown; the next status report settles it. */
    public data class Failed(
        val reason: String,
    ) : CommandResult
}
