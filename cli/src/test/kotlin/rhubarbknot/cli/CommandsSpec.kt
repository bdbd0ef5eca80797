package rhubarbknot.cli

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.io.TempDir
import rhubarbknot.cli.demo.InProcessCluster
import rhubarbknot.daemon.MonotonicClock
import rhubarbknot.standins.EntryClient
import rhubarbknot.standins.InvariantMonitor
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.readText

/** Runs the commands that docs/OPERATORS.md describes against one daemon. */
@DisplayName("operators' commands")
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class CommandsSpec {
    private val clock = MonotonicClock()
    private val http = EntryClient.newHttpClient()
    private val cluster =
        InProcessCluster(
            3,
            http,
            InvariantMonitor(clock::millis),
            clock::millis,
            mapOf("kalaa" to 1),
            endpointsPerZone = 1,
            workersPerZone = 1,
        )

    @TempDir
    lateinit var folder: Path

    private class CommandResult(
        val code: Int,
        val out: String,
    )

    @BeforeAll
    fun start() =
        runBlocking {
            cluster.start()
            while (!cluster.isReady) delay(20)
        }

    @AfterAll
    fun stop() {
        cluster.close()
        http.close()
    }

    private fun run(vararg arguments: String): CommandResult {
        val out = ByteArrayOutputStream()
        val streams = System.out to System.err
        val capture = PrintStream(out, true)
        System.setOut(capture)
        System.setErr(capture)
        try {
            val settings = arrayOf("--hosts", cluster.addresses.joinToString(","), "--token", cluster.operatorToken, "--operator", "tester")
            val code = runCommand(arrayOf(*arguments) + settings)
            return CommandResult(code, out.toString())
        } finally {
            System.setOut(streams.first)
            System.setErr(streams.second)
        }
    }

    private fun file(
        name: String,
        text: String,
    ): String = folder.resolve(name).also { Files.writeString(it, text) }.toString()

    @Test
    fun `plan, apply, export and explain as documented`() {
        val first = file("first.csv", "team,share,ceiling\ncrew,2,40\nmill,1,1 200\n")
        expectThat(run("table", "plan", first).out).contains("team mill is new: share 1, ceiling 1200")
        expectThat(run("table", "show").out).contains("version")
        expectThat(run("table", "apply", first).out).contains("in force everywhere")
        expectThat(run("table", "apply", first).out).contains("nothing would change")
        run("table", "export", folder.resolve("out.csv").toString())
        expectThat(folder.resolve("out.csv").readText()).contains("mill,1,1200")

        val secret = run("key", "give", "crew-1", "--team", "crew").out.substringAfter("this once: ").trim()
        val job = run("job", "submit", "crew", "--id", "shift-1", "--payload", "shed 7", "--wait-millis", "5000", "--key", secret)
        expectThat(job.out).contains("it ran: answer to shed 7")
        expectThat(run("job", "explain", "crew/shift-1", "--key", secret).out).contains("wait")
        expectThat(run("key", "withdraw", "crew-1").out).contains("accepted")
        expectThat(run("key", "list").out).contains("withdrawn")
        val refused = run("job", "submit", "crew", "--id", "shift-2", "--key", secret)
        expectThat(refused.code).isEqualTo(ExitCode.REFUSED)
        expectThat(refused.out).contains("bad_key")

        expectThat(run("zone", "out", "kalaa", "--wait", "1").out).contains("zone kalaa: 0 running")
        expectThat(run("status").out).contains("out")
        expectThat(run("zone", "in", "kalaa").out).contains("in force everywhere")
        expectThat(run("workers").out).contains("worker-kalaa-0")
        expectThat(run("endpoints").out).contains("8 slots")
        expectThat(run("team", "crew").out).contains("40")
        expectThat(run("report").out).contains("Team crew (share 2, ceiling 40) asked 1 times in the last 24 hours.")
        expectThat(run("report", "--json").out).contains("\"team\":\"crew\"")
        run("report", "--team", "crew", "--html", folder.resolve("day.html").toString())
        expectThat(folder.resolve("day.html").readText()).contains("Team crew (share 2, ceiling 40)")
        expectThat(run("audit", "--about", "key crew-1").out).contains("tester")
        expectThat(run("table", "history").out).contains("accepted")
    }

    @Test
    fun `record a request with a wrong operator token in the audit trail`() {
        val settings = arrayOf("--hosts", cluster.addresses.joinToString(","), "--token", "guessed")
        expectThat(runCommand(arrayOf("status") + settings)).isEqualTo(ExitCode.REFUSED)
        val deadline = System.nanoTime() + 5_000_000_000
        while ("wrong operator token" !in run("audit").out && System.nanoTime() < deadline) Thread.sleep(50)
        expectThat(run("audit").out).contains("wrong operator token")
    }

    @Test
    fun `report a version conflict with the present values, and change nothing`() {
        run("table", "apply", file("a.csv", "team,share,ceiling\nrace,1,5\n"))
        val late = run("table", "apply", file("b.csv", "team,share,ceiling\nrace,1,6\n"), "--based-on", "1")
        expectThat(late.code).isEqualTo(ExitCode.CONFLICT)
        expectThat(late.out).contains("ceiling=5")
    }

    @Test
    fun `report all errors of a file at once`() {
        val bad = run("table", "plan", file("bad.csv", "team,share,ceiling\ncrew,none,1.200\n,1,5\n"))
        expectThat(bad.code).isEqualTo(ExitCode.BAD_INPUT)
        expectThat(bad.out).contains("bad.csv: row 2, column share")
        expectThat(bad.out).contains("bad.csv: row 2, column ceiling")
        expectThat(bad.out).contains("bad.csv: row 3, column team")
    }

    @Test
    fun `report every invalid setting of an entry daemon with its source`() {
        val flags = mapOf("id" to "a b", "api-address" to "nowhere", "peers" to "x")
        val findings = EntrySettings(flags, mapOf("RHUBARBKNOT_ZONE" to "kal aa", "RHUBARBKNOT_SECRET" to "short")).read()
        val text = findings.toString()
        listOf(
            "--id",
            "RHUBARBKNOT_ZONE",
            "--peer-address or RHUBARBKNOT_PEER_ADDRESS",
            "--api-address",
            "RHUBARBKNOT_SECRET",
            "--peers",
        ).forEach {
            expectThat(text).contains(it)
        }
        expectThat("short" in text.substringAfter("RHUBARBKNOT_SECRET")).isEqualTo(false)
    }
}
