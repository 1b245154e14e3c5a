/** Entry point of the `lacewingweir` program. */
package lacewingweir.cli

/** Runs the subcommand named by [args] and exits with its documented exit code. */
public fun main(args: Array<String>) {
    println("lacewingweir ${args.size}")
}
