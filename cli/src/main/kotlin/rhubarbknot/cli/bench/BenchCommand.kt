package rhubarbknot.cli.bench

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import rhubarbknot.cli.Command
import rhubarbknot.cli.ExitCode
import rhubarbknot.cli.quietLogs

/** Parent command of the benchmarks. */
@OptIn(ExperimentalCli::class)
class BenchCommand : Command("bench", "Measure: decide, log, path, capacity") {
    val benchmarks: List<Command> = listOf(DecideCommand(), LogCommand(), PathCommand(), CapacityCommand())

    init {
        subcommands(*benchmarks.toTypedArray())
    }

    override fun run(): Int = benchmarks.map { it.exitCode }.firstOrNull { it != ExitCode.OK } ?: ExitCode.OK
}

/** Prints each property of [value] on its own line and, with [json], one JSON object on the last line. */
internal fun <T> printResult(
    serializer: KSerializer<T>,
    value: T,
    json: Boolean,
) {
    val text = Json.encodeToString(serializer, value)
    Json.parseToJsonElement(text).jsonObject.forEach { (name, figure) -> println("%-42s %s".format(name, figure)) }
    if (json) println(text)
}

/** `bench decide`. */
@OptIn(ExperimentalCli::class)
class DecideCommand : Command("decide", "Decisions of one cell: speed, memory, packing, shares, waits") {
    private val workers by option(ArgType.Int, "workers", description = "Workers of the cell").default(1_650)
    private val running by option(ArgType.Int, "running", description = "Running tasks").default(31_000)
    private val teams by option(ArgType.Int, "teams", description = "Teams in the table").default(200)
    private val seed by option(ArgType.Int, "seed", description = "Seed of the load").default(1)
    private val json by option(ArgType.Boolean, "json", description = "Print one JSON object on the last line").default(false)
    private val skipLarge by option(ArgType.Boolean, "no-large", description = "Leave out the cell of 23,000 workers").default(false)

    override fun run(): Int {
        val result = DecideBench(workers, running, teams, seed.toLong(), !skipLarge) { System.err.println(it) }.run()
        printResult(DecideResult.serializer(), result, json)
        return ExitCode.OK
    }
}

/** `bench log`. */
@OptIn(ExperimentalCli::class)
class LogCommand : Command("log", "The replicated log: commits, recovery, failover, rest") {
    private val replicas by option(ArgType.Int, "replicas", description = "Replicas of the group").default(3)
    private val seed by option(ArgType.Int, "seed", description = "Seed").default(1)
    private val json by option(ArgType.Boolean, "json", description = "Print one JSON object on the last line").default(false)

    override fun run(): Int {
        quietLogs()
        val result = LogBench(replicas, seed.toLong()) { System.err.println(it) }.run()
        printResult(LogResult.serializer(), result, json)
        return ExitCode.OK
    }
}

/** `bench path`. */
@OptIn(ExperimentalCli::class)
class PathCommand : Command("path", "The whole path through one entry host over real sockets") {
    private val deployment by option(
        ArgType.Choice(listOf("kaki", "phuhoa"), { it }),
        "deployment",
        description = "Deployment whose size to use",
    ).default("kaki")
    private val seed by option(ArgType.Int, "seed", description = "Seed").default(1)
    private val json by option(ArgType.Boolean, "json", description = "Print one JSON object on the last line").default(false)

    override fun run(): Int {
        quietLogs()
        val endpoints = if (deployment == "kaki") KAKI_ENDPOINTS else PHU_HOA_ENDPOINTS
        val result = runBlocking { PathBench(deployment, endpoints, seed.toLong()) { System.err.println(it) }.run() }
        printResult(PathResult.serializer(), result, json)
        return ExitCode.OK
    }

    private companion object {
        const val KAKI_ENDPOINTS = 33
        const val PHU_HOA_ENDPOINTS = 32
    }
}

/** `bench capacity`. */
@OptIn(ExperimentalCli::class)
class CapacityCommand : Command("capacity", "Slopes of state, time and bytes for docs/CAPACITY.md") {
    private val seed by option(ArgType.Int, "seed", description = "Seed").default(1)
    private val json by option(ArgType.Boolean, "json", description = "Print one JSON object on the last line").default(false)

    override fun run(): Int {
        val result = CapacityBench(seed.toLong()) { System.err.println(it) }.run()
        result.slopes.forEach {
            println("%-52s %12.1f %-32s + %14.0f, residual %.0f".format(it.name, it.slope, it.perUnit, it.intercept, it.residual))
        }
        if (json) println(Json.encodeToString(CapacityResult.serializer(), result))
        return ExitCode.OK
    }
}
