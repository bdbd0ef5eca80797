package rhubarbknot.cli

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import rhubarbknot.cli.bench.BenchCommand
import rhubarbknot.cli.operate.AuditCommand
import rhubarbknot.cli.operate.EndpointsCommand
import rhubarbknot.cli.operate.JobCommand
import rhubarbknot.cli.operate.KeyCommand
import rhubarbknot.cli.operate.StatusCommand
import rhubarbknot.cli.operate.TableCommand
import rhubarbknot.cli.operate.TeamCommand
import rhubarbknot.cli.operate.WorkersCommand
import rhubarbknot.cli.operate.ZoneCommand
import rhubarbknot.cli.report.ReportCommand
import rhubarbknot.cli.trace.TraceCommand
import kotlin.system.exitProcess

/** Exit codes, by class of failure. */
object ExitCode {
    const val OK = 0
    const val REFUSED = 1
    const val BAD_INPUT = 2
    const val CONFLICT = 3
    const val UNREACHABLE = 4
    const val INVARIANT_VIOLATED = 5
}

/** Entry point of the command line. */
fun main(args: Array<String>): Unit = exitProcess(runCommand(args))

/** Runs one command line and returns its [ExitCode]. */
@OptIn(ExperimentalCli::class)
fun runCommand(args: Array<String>): Int {
    val parser = ArgParser("rhubarbknot")
    val commands =
        listOf(
            EntryCommand(),
            DemoCommand(),
            BenchCommand(),
            TeamCommand(),
            KeyCommand(),
            ZoneCommand(),
            TableCommand(),
            JobCommand(),
            WorkersCommand(),
            EndpointsCommand(),
            StatusCommand(),
            AuditCommand(),
            ReportCommand(),
            TraceCommand(),
        )
    parser.subcommands(*commands.toTypedArray())
    parser.parse(if (args.isEmpty()) arrayOf("--help") else args)
    return commands.map { it.exitCode }.firstOrNull { it != ExitCode.OK } ?: ExitCode.OK
}
