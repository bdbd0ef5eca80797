package rhubarbknot.cli.trace

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import rhubarbknot.cli.ExitCode
import rhubarbknot.cli.runCommand
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.nio.file.Files
import java.nio.file.Path

@DisplayName("the trace of a job")
class JobTraceSpec {
    @TempDir
    lateinit var folder: Path

    private val control =
        """
        12.5 core-1 {"at":5000,"node":"core-1","event":"job_accepted","id":"5c0e","why":"queue=q team=t"}
        {"at":5040,"node":"core-1","event":"runs_assigned","id":"5c0e.0.0","why":"waited=40ms tier=ON_TIME runs=0:1@w7,1:1@w8"}
        {"at":5050,"node":"core-1","event":"run_started","id":"5c0e.0.0.0","why":"run=1 worker=w7/1764957000001"}
        {"at":5060,"node":"core-1","event":"worker_over","id":"w7","why":"born anew"}
        {"at":5060,"node":"core-1","event":"worker_seen","id":"w7/1764957000123","why":"predecessors=[w7/1764957000001]"}
        {"at":5061,"node":"core-1","event":"worker_over","id":"w9","why":"left"}
        {"at":5062,"node":"core-1","event":"run_lost","id":"77aa.0.0.0","why":"worker=w9"}
        no line of ours
        """.trimIndent().lines()

    private val gateway = listOf("""{"at":4100,"node":"front-1","event":"leader_changed","id":"10.0.0.1:1","why":"term=2"}""")

    @Test
    fun `contains the decisions of all processes about the job and the events of its workers and leaders`() {
        val trace = JobTrace.of("5c0e", (control + gateway).mapNotNull { LogLine.parse(it) })
        expectThat(trace.lines.map { it.event }).isEqualTo(
            listOf("leader_changed", "job_accepted", "runs_assigned", "run_started", "worker_over", "worker_seen"),
        )
        expectThat(trace.render().lines()[1].trim()).isEqualTo("+0.900s  core-1               job_accepted           5c0e queue=q team=t")
    }

    @Test
    fun `is printed by the command, which exits with REFUSED when no line mentions the job`() {
        val file = folder.resolve("core-1.log").also { Files.write(it, control) }.toString()
        expectThat(runCommand(arrayOf("trace", "5c0e", file))).isEqualTo(ExitCode.OK)
        expectThat(runCommand(arrayOf("trace", "ffff", file))).isEqualTo(ExitCode.REFUSED)
        expectThat(runCommand(arrayOf("trace", "5c0e", "$file.missing"))).isEqualTo(ExitCode.BAD_INPUT)
    }
}
