package lacewingweir.cli

/** The documented exit codes of the program. */
public object ExitCode {
    /** The command succeeded. */
    public const val SUCCESS: Int = 0

    /** The command failed for a reason that has no code of its own. */
    public const val FAILED: Int = 1

    /** The command line or an input file is invalid. */
    public const val BAD_INPUT: Int = 2

    /** The store does not hold what was expected, usually after a change by another operator. Nothing was written. */
    public const val CONFLICT: Int = 3

    /** The change may or may not have taken effect. */
    public const val UNKNOWN: Int = 4

    /** The store or the instances could not be reached. */
    public const val UNREACHABLE: Int = 5
}
