package rhubarbknot.cli.trace

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.vararg
import rhubarbknot.cli.Command
import rhubarbknot.cli.ExitCode
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** `trace ID FILE...`: prints the trace of one job through all processes. */
@OptIn(ExperimentalCli::class)
class TraceCommand : Command("trace", "Print the trace of one job through all processes, from their decision logs") {
    private val job by argument(ArgType.String, "id", "Id of the job")
    private val files by argument(ArgType.String, "files", "Decision logs, in any order").vararg()

    override fun run(): Int {
        val lines =
            try {
                files.flatMap { file -> Files.readAllLines(Path.of(file)).mapNotNull { LogLine.parse(it) } }
            } catch (e: IOException) {
                System.err.println("cannot read a decision log: ${e.message}")
                return ExitCode.BAD_INPUT
            }
        val trace = JobTrace.of(job, lines)
        println(trace.render())
        return if (trace.lines.isEmpty()) ExitCode.REFUSED else ExitCode.OK
    }
}
