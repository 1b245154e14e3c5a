package lacewingweir.cli

/** The documented exit codes of the program. */
public object ExitCode {
    /** Done. */
    public const val SUCCESS: Int = 0

    /** Failed. */
    public const val FAILED: Int = 1

    /** Bad usage or bad input. */
    public const val BAD_INPUT: Int = 2

    /** Conflict with another operator. */
    public const val CONFLICT: Int = 3

    /** Outcome unknown. */
    public const val UNKNOWN: Int = 4

    /** Unreachable. */
    public const val UNREACHABLE: Int = 5
}
