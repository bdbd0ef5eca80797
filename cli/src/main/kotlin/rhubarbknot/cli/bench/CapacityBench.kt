package rhubarbknot.cli.bench

import kotlinx.serialization.Serializable
import org.apache.commons.math3.stat.regression.SimpleRegression
import rhubarbknot.core.cell.Cell
import rhubarbknot.core.cell.CellBatch
import rhubarbknot.core.cell.CellCommand
import rhubarbknot.core.cell.CellPolicy
import rhubarbknot.core.cell.ExecutorInfo
import rhubarbknot.core.cell.ExecutorKind
import rhubarbknot.core.model.Codec
import rhubarbknot.core.model.ExecutorId
import rhubarbknot.core.model.JobSpec
import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.model.WorkKind
import rhubarbknot.core.model.ZoneId
import rhubarbknot.core.registry.ChangeId
import rhubarbknot.core.registry.Edit
import rhubarbknot.core.registry.Registry
import rhubarbknot.core.registry.RegistryCommand
import rhubarbknot.core.registry.ZoneView
import rhubarbknot.core.table.TeamRow
import rhubarbknot.host.ConnectionId
import rhubarbknot.host.EntryHost
import rhubarbknot.host.FromExecutor
import rhubarbknot.host.HostConfig
import rhubarbknot.host.HostEffect
import rhubarbknot.host.HostEvent
import rhubarbknot.host.HostId
import rhubarbknot.host.HostInfo
import rhubarbknot.host.Topology
import rhubarbknot.wire.ExecutorCodec

/** One measured point: a size, and the figure at that size. */
@Serializable
data class Point(
    val size: Double,
    val figure: Double,
)

/** A line through measured points by least squares; [residual] is the root mean square of what it misses. */
@Serializable
data class Slope(
    val name: String,
    val perUnit: String,
    val slope: Double,
    val intercept: Double,
    val residual: Double,
    val points: List<Point>,
)

/** All slopes of one run. */
@Serializable
data class CapacityResult(
    val seed: Long,
    val slopes: List<Slope>,
)

/** Measures how state, time and bytes grow, at four sizes or more each. */
class CapacityBench(
    private val seed: Long,
    private val progress: (String) -> Unit,
) {
    fun run(): CapacityResult {
        filled(SIZES.first())
        val slopes =
            listOf(
                slope("cell heap by running tasks", "bytes a running task", SIZES) { heap { filled(it) } },
                slope("cell snapshot by running tasks", "bytes a running task", SIZES) { filled(it).snapshot().size.toDouble() },
                slope("time to take a cell snapshot", "ns a running task", SIZES) { size ->
                    filled(size).let { cell ->
                        best { cell.snapshot() }
                    }
                },
                slope("time to restore a cell", "ns a running task", SIZES) { size ->
                    val bytes = filled(size).snapshot()
                    best { Cell().restore(bytes) }
                },
                slope("time for a zone's executors to announce themselves", "ns an executor", EXECUTORS) { size -> best { joined(size) } },
                slope("time of executors' heartbeats at their leader", "ns a heartbeat", EXECUTORS) { heartbeats(it) },
                slope("bytes of executors' heartbeats on the wire", "bytes a heartbeat and its lease", EXECUTORS) { it * heartbeatBytes() },
                slope("time of registry changes", "ns a change", CHANGES) { size -> best { registry(teams = TEAMS, changes = size) } },
                slope("registry snapshot by teams", "bytes a team", TEAM_SIZES) { registry(it, 0).snapshot().size.toDouble() },
                slope("view of a zone by teams", "bytes a team", TEAM_SIZES) { viewBytes(it) },
            )
        return CapacityResult(seed, slopes)
    }

    private fun slope(
        name: String,
        perUnit: String,
        sizes: List<Int>,
        measure: (Int) -> Double,
    ): Slope {
        progress(name)
        val points = sizes.map { Point(it.toDouble(), measure(it)) }
        val line = SimpleRegression()
        points.forEach { line.addData(it.size, it.figure) }
        return Slope(name, perUnit, line.slope, line.intercept, Math.sqrt(line.sumSquaredErrors / points.size), points)
    }

    /** Nanoseconds of the fastest of a few runs, which is the one least disturbed. */
    private fun best(action: () -> Any): Double =
        (1..REPEATS)
            .minOf {
                val begin = System.nanoTime()
                action()
                System.nanoTime() - begin
            }.toDouble()

    private fun heap(make: () -> Any): Double {
        val before = used()
        val made = make()
        val after = used()
        java.lang.ref.Reference
            .reachabilityFence(made)
        return (after - before).toDouble()
    }

    private fun used(): Long {
        repeat(GC_ROUNDS) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }

    private fun row(number: Int) = TeamRow(TeamId("team$number"), share = 1 + number % 5, ceiling = 1_000_000)

    /** A cell that runs [tasks] tasks of jobs with [TASKS_PER_JOB] each, [TASKS_PER_WORKER] a worker. */
    private fun filled(tasks: Int): Cell {
        val virtual = VirtualCell(CellPolicy(), trueMillis = { Long.MAX_VALUE / 4 })
        virtual.table((1..TEAMS).map { row(it) })
        repeat(tasks / TASKS_PER_WORKER + 1) { virtual.join("w$it", ExecutorKind.WORKER, DecideBench.WORKER, "rack${it / 8}") }
        val need = Resources(DecideBench.WORKER.milliCpus / TASKS_PER_WORKER, DecideBench.WORKER.memoryMb / TASKS_PER_WORKER)
        val commands =
            (0 until tasks / TASKS_PER_JOB).map { job ->
                virtual.submitCommand(
                    TeamId("team${1 + job % TEAMS}"),
                    "job-$job",
                    JobSpec(WorkKind.BATCH, tasks = TASKS_PER_JOB, need = need),
                )
            }
        commands.chunked(CHUNK).forEach { virtual.cell.reduce(CellBatch(virtual.now, it)) }
        return virtual.cell
    }

    private fun info(number: Int) =
        ExecutorInfo(ExecutorId("worker-$number"), "1", ExecutorKind.WORKER, DecideBench.WORKER, "rack${number / 8}", 1)

    private fun joined(executors: Int): Cell {
        val cell = Cell()
        cell.reduce(CellBatch(1, (0 until executors).map { CellCommand.Join(info(it)) }))
        return cell
    }

    /** Nanoseconds that one leader takes for one heartbeat of each of [executors]. */
    private fun heartbeats(executors: Int): Double {
        val host = SingleHost()
        (0 until executors).forEach {
            host.feed(
                HostEvent.ExecutorFrameReceived(ConnectionId(it.toLong()), FromExecutor.Hello(info(it), emptyList(), 0)),
            )
        }
        var clock = 0L
        return best {
            clock++
            (0 until executors).forEach {
                host.feed(
                    HostEvent.ExecutorFrameReceived(ConnectionId(it.toLong()), FromExecutor.Heartbeat(clock)),
                )
            }
        }
    }

    private fun heartbeatBytes(): Double {
        val up = ExecutorCodec.encode(FromExecutor.Heartbeat(System.currentTimeMillis()))
        val down = ExecutorCodec.encode(rhubarbknot.host.ToExecutor.Lease(System.currentTimeMillis(), LEASE_MILLIS, 12))
        return (up.length + CLIENT_FRAME_BYTES + down.length + SERVER_FRAME_BYTES).toDouble()
    }

    private fun registry(
        teams: Int,
        changes: Int,
    ): Registry {
        val registry = Registry()

        fun change(
            id: String,
            edit: Edit,
        ) = registry.reduce(RegistryCommand.Change(ChangeId(id), "bench", Long.MAX_VALUE, 0, edit))
        repeat(ZONES) { change("zone$it", Edit.AddZone(ZoneId("zone$it"))) }
        change("table", Edit.Table((1..teams).map { row(it) }))
        repeat(changes) { change("c$it", Edit.Table(listOf(row(1 + it % teams).copy(ceiling = 1_000 + it)))) }
        return registry
    }

    private fun viewBytes(teams: Int): Double {
        val view = checkNotNull(ZoneView.of(registry(teams, 0).state, ZoneId("zone0")))
        return Codec.encode(ZoneView.serializer(), view).size.toDouble()
    }

    /** One host that is its own quorum, with a disk that syncs at once. */
    private class SingleHost {
        private val info = HostInfo(HostId("one1"), ZoneId("one"))
        private var now = 1_000L
        private val host = EntryHost(HostConfig(info.id, Topology(listOf(info))), emptyMap(), now)

        init {
            repeat(LEAD_TICKS) {
                now += TICK_MILLIS
                feed(HostEvent.Tick)
            }
        }

        fun feed(event: HostEvent) {
            val todo = ArrayDeque(host.handle(event, now))
            while (todo.isNotEmpty()) {
                val effect = todo.removeFirst()
                if (effect is HostEffect.Persist) todo.addAll(host.handle(HostEvent.Persisted(effect.group, effect.batch.sequence), now))
            }
        }

        private companion object {
            const val LEAD_TICKS = 200
            const val TICK_MILLIS = 20L
        }
    }

    private companion object {
        val SIZES = listOf(5_000, 10_000, 20_000, 40_000)
        val EXECUTORS = listOf(200, 400, 800, 1_650)
        val CHANGES = listOf(500, 1_000, 2_000, 4_000)
        val TEAM_SIZES = listOf(50, 100, 200, 400)
        const val TEAMS = 200
        const val ZONES = 14
        const val TASKS_PER_JOB = 4
        const val TASKS_PER_WORKER = 19
        const val CHUNK = 500
        const val REPEATS = 5
        const val GC_ROUNDS = 4
        const val LEASE_MILLIS = 3_000L
        const val CLIENT_FRAME_BYTES = 6
        const val SERVER_FRAME_BYTES = 2
    }
}
