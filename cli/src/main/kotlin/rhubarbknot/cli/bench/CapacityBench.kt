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

/** One measurement: [figure] is the value measured at [size]. */
@Serializable
data class Point(
    val size: Double,
    val figure: Double,
)

/** Least-squares fit of the measured points; [residual] is the root mean square error. */
@Serializable
data class LinearFit(
    val name: String,
    val perUnit: String,
    val slope: Double,
    val intercept: Double,
    val residual: Double,
    val points: List<Point>,
)

/** All fits of one run. */
@Serializable
data class CapacityResult(
    val seed: Long,
    val slopes: List<LinearFit>,
)

/** Measures how state, time and bytes grow, each at four sizes or more. */
class CapacityBench(
    private val seed: Long,
    private val progress: (String) -> Unit,
) {
    fun run(): CapacityResult {
        filledCell(SIZES.first())
        val slopes =
            listOf(
                fit("cell heap by running tasks", "bytes a running task", SIZES) { heapBytes { filledCell(it) } },
                fit("cell snapshot by running tasks", "bytes a running task", SIZES) { filledCell(it).snapshot().size.toDouble() },
                fit("time to take a cell snapshot", "ns a running task", SIZES) { size ->
                    filledCell(size).let { cell ->
                        fastestNanos { cell.snapshot() }
                    }
                },
                fit("time to restore a cell", "ns a running task", SIZES) { size ->
                    val bytes = filledCell(size).snapshot()
                    fastestNanos { Cell().restore(bytes) }
                },
                fit(
                    "time for a zone's executors to announce themselves",
                    "ns an executor",
                    EXECUTORS,
                ) { size -> fastestNanos { cellWithExecutors(size) } },
                fit("time of executors' heartbeats at their leader", "ns a heartbeat", EXECUTORS) { heartbeats(it) },
                fit("bytes of executors' heartbeats on the wire", "bytes a heartbeat and its lease", EXECUTORS) { it * heartbeatBytes() },
                fit(
                    "time of registry changes",
                    "ns a change",
                    CHANGES,
                ) { size -> fastestNanos { registryWith(teams = TEAMS, changes = size) } },
                fit("registry snapshot by teams", "bytes a team", TEAM_SIZES) { registryWith(it, 0).snapshot().size.toDouble() },
                fit("view of a zone by teams", "bytes a team", TEAM_SIZES) { viewBytes(it) },
            )
        return CapacityResult(seed, slopes)
    }

    private fun fit(
        name: String,
        perUnit: String,
        sizes: List<Int>,
        measure: (Int) -> Double,
    ): LinearFit {
        progress(name)
        val points = sizes.map { Point(it.toDouble(), measure(it)) }
        val regression = SimpleRegression()
        points.forEach { regression.addData(it.size, it.figure) }
        return LinearFit(
            name,
            perUnit,
            regression.slope,
            regression.intercept,
            Math.sqrt(regression.sumSquaredErrors / points.size),
            points,
        )
    }

    /** Nanoseconds of the fastest of a few runs, which is the least disturbed one. */
    private fun fastestNanos(action: () -> Any): Double =
        (1..REPEATS)
            .minOf {
                val begin = System.nanoTime()
                action()
                System.nanoTime() - begin
            }.toDouble()

    private fun heapBytes(make: () -> Any): Double {
        val before = usedHeapBytes()
        val retained = make()
        val after = usedHeapBytes()
        java.lang.ref.Reference
            .reachabilityFence(retained)
        return (after - before).toDouble()
    }

    private fun usedHeapBytes(): Long {
        repeat(GC_ROUNDS) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }

    private fun row(number: Int) = TeamRow(TeamId("team$number"), share = 1 + number % 5, ceiling = 1_000_000)

    /** A cell that runs [tasks] tasks of jobs with [TASKS_PER_JOB] each, and [TASKS_PER_WORKER] on each worker. */
    private fun filledCell(tasks: Int): Cell {
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

    private fun cellWithExecutors(executors: Int): Cell {
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
        return fastestNanos {
            clock++
            (0 until executors).forEach {
                host.feed(
                    HostEvent.ExecutorFrameReceived(ConnectionId(it.toLong()), FromExecutor.Heartbeat(clock)),
                )
            }
        }
    }

    private fun heartbeatBytes(): Double {
        val heartbeatFrame = ExecutorCodec.encode(FromExecutor.Heartbeat(System.currentTimeMillis()))
        val leaseFrame = ExecutorCodec.encode(rhubarbknot.host.ToExecutor.Lease(System.currentTimeMillis(), LEASE_MILLIS, 12))
        return (heartbeatFrame.length + CLIENT_FRAME_BYTES + leaseFrame.length + SERVER_FRAME_BYTES).toDouble()
    }

    private fun registryWith(
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
        val view = checkNotNull(ZoneView.of(registryWith(teams, 0).state, ZoneId("zone0")))
        return Codec.encode(ZoneView.serializer(), view).size.toDouble()
    }

    /** One host that forms a quorum alone; its disk confirms writes immediately. */
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
            val pending = ArrayDeque(host.handle(event, now))
            while (pending.isNotEmpty()) {
                val effect = pending.removeFirst()
                if (effect is HostEffect.Persist) pending.addAll(host.handle(HostEvent.Persisted(effect.group, effect.batch.sequence), now))
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
