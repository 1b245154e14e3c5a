package lacewingweir.coordination.rollout

/** The outcome of a command to an engine. */
public sealed interface CommandResult {
    /** The engine accepted the command. */
    public data object Accepted : CommandResult

    /** The engine refused the command because it has seen a higher fencing token. */
    public data object Fenced : CommandResult

    /** The command failed or its outcome is unknown. The next status report shows whether it took effect. */
    public data class Failed(
        val reason: String,
    ) : CommandResult
}
