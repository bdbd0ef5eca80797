package rhubarbknot.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import rhubarbknot.cli.demo.Demo
import rhubarbknot.cli.demo.DemoResult

/** Runs the demo workload in one process, with real sockets on loopback. */
@OptIn(ExperimentalCli::class)
class DemoCommand : Command("demo", "Run a demo workload in one process and report on it") {
    private val seed by option(ArgType.Int, "seed", description = "Seed of the load").default(1)
    private val json by option(ArgType.Boolean, "json", description = "Print one JSON object on the last line").default(false)
    private val seconds by option(ArgType.Int, "seconds", description = "Length of the workload").default(30)

    override fun run(): Int {
        quietLogs()
        val result = runBlocking { Demo(seed.toLong(), seconds) { System.err.println(it) }.run() }
        println(result.page)
        if (json) println(Json.encodeToString(DemoResult.serializer(), result))
        return if (result.isClean) ExitCode.OK else ExitCode.INVARIANT_VIOLATED
    }
}
