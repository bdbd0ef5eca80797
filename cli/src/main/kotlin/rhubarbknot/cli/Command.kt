package rhubarbknot.cli

import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand

/** A subcommand that ends with an exit code. */
@OptIn(ExperimentalCli::class)
abstract class Command(
    name: String,
    description: String,
) : Subcommand(name, description) {
    var exitCode = ExitCode.OK
        private set

    final override fun execute() {
        exitCode = run()
    }

    /** Does the work and returns an [ExitCode]. */
    protected abstract fun run(): Int
}
