package rhubarbknot.cli.bench

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram
import rhubarbknot.core.cell.AttemptReport
import rhubarbknot.core.cell.AttemptState
import rhubarbknot.core.cell.CellBatch
import rhubarbknot.core.cell.CellCommand
import rhubarbknot.core.cell.CellEffect
import rhubarbknot.core.cell.CellPolicy
import rhubarbknot.core.cell.ExecutorKind
import rhubarbknot.core.model.JobSpec
import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.model.WorkKind
import rhubarbknot.core.table.TeamRow
import java.util.SplittableRandom

/** Results of the decision benchmark. The property names are the names in the JSON output. */
@Serializable
data class DecideResult(
    val workers: Int,
    val running: Int,
    val teams: Int,
    val seed: Long,
    val startsPerSecond: Double,
    val decisionP50Micros: Double,
    val decisionP99Micros: Double,
    val baselineStartsPerSecond: Double,
    val largeWorkers: Int,
    val largeRunning: Int,
    val largeStartsPerSecond: Double,
    val costRatioLargeToSmall: Double,
    val bytesPerTask: Double,
    val packingRatio: Double,
    val shareError: Double,
    val baselineShareError: Double,
    val meanWaitMillis: Long,
    val baselineMeanWaitMillis: Long,
    val longestWaitOfLongMillis: Long,
    val baselineLongestWaitOfLongMillis: Long,
    val wholeWorkerWaitMillis: Long,
    val baselineWholeWorkerWaitMillis: Long,
    val urgentWaitP99Millis: Long,
    val urgentWorkLostPercent: Double,
    val urgentHeadroomPercent: Double,
    val shiftCallWaitP99MillisKakiSahel: Long,
    val shiftCallWaitP99MillisPhuHoa: Long,
    val baselineShiftCallWaitP99MillisKakiSahel: Long,
    val baselineShiftCallWaitP99MillisPhuHoa: Long,
)

/** Speed of starts in a steady state: time of one decision, and starts per second on one core. */
data class ChurnStats(
    val startsPerSecond: Double,
    val p50Micros: Double,
    val p99Micros: Double,
)

/** Measures the decisions and their baselines in one run. */
class DecideBench(
    private val workers: Int,
    private val running: Int,
    private val teams: Int,
    private val seed: Long,
    private val large: Boolean,
    private val progress: (String) -> Unit,
) {
    fun run(): DecideResult {
        progress("warming up")
        churn(200, 2_000, CellPolicy(), WARM_UP_STARTS)
        progress("$workers workers, $running running")
        val small = churn(workers, running, CellPolicy(), MEASURED_STARTS)
        progress("the same with a scan of all workers")
        val baseline = churn(workers, running, CellPolicy(scanAll = true), BASELINE_STARTS)
        val (largeWorkers, largeRunning) = if (large) LARGE_WORKERS to LARGE_RUNNING else workers to running
        progress("$largeWorkers workers, $largeRunning running")
        val largeStats = if (large) churn(largeWorkers, largeRunning, CellPolicy(), MEASURED_STARTS) else small
        progress("memory of a running task")
        val bytes = bytesPerTask()
        progress("packing, shares and waits in virtual time")
        val waits = WaitBench(seed)
        val urgent = waits.urgent()
        val estimates = EstimateBench(seed)
        val waitsByEstimate = estimates.queueWaits(byEstimate = true)
        val waitsByArrival = estimates.queueWaits(byEstimate = false)
        return DecideResult(
            workers = workers,
            running = running,
            teams = teams,
            seed = seed,
            startsPerSecond = small.startsPerSecond,
            decisionP50Micros = small.p50Micros,
            decisionP99Micros = small.p99Micros,
            baselineStartsPerSecond = baseline.startsPerSecond,
            largeWorkers = largeWorkers,
            largeRunning = largeRunning,
            largeStartsPerSecond = largeStats.startsPerSecond,
            costRatioLargeToSmall = small.startsPerSecond / largeStats.startsPerSecond,
            bytesPerTask = bytes,
            packingRatio = PackingBench(seed).ratio(PACKING_WORKERS),
            shareError = ShareBench(seed).error(fair = true),
            baselineShareError = ShareBench(seed).error(fair = false),
            meanWaitMillis = waitsByEstimate.meanMillis,
            baselineMeanWaitMillis = waitsByArrival.meanMillis,
            longestWaitOfLongMillis = waitsByEstimate.longestOfLongMillis,
            baselineLongestWaitOfLongMillis = waitsByArrival.longestOfLongMillis,
            wholeWorkerWaitMillis = estimates.wholeWorkerWait(byEstimate = true),
            baselineWholeWorkerWaitMillis = estimates.wholeWorkerWait(byEstimate = false),
            urgentWaitP99Millis = urgent.waitP99Millis,
            urgentWorkLostPercent = urgent.workLostPercent,
            urgentHeadroomPercent = urgent.headroomPercent,
            shiftCallWaitP99MillisKakiSahel = waits.shiftCallP99(KAKI_ENDPOINTS, fair = true),
            shiftCallWaitP99MillisPhuHoa = waits.shiftCallP99(PHU_HOA_ENDPOINTS, fair = true),
            baselineShiftCallWaitP99MillisKakiSahel = waits.shiftCallP99(KAKI_ENDPOINTS, fair = false),
            baselineShiftCallWaitP99MillisPhuHoa = waits.shiftCallP99(PHU_HOA_ENDPOINTS, fair = false),
        )
    }

    private fun rows(count: Int) = (1..count).map { TeamRow(TeamId("team$it"), share = 1 + it % 5, ceiling = 1_000_000) }

    private fun cellWithWorkers(
        workerCount: Int,
        policy: CellPolicy,
    ): VirtualCell {
        val cell = VirtualCell(policy, trueMillis = { Long.MAX_VALUE / 4 })
        cell.table(rows(teams))
        (1..workerCount).chunked(JOIN_CHUNK).forEach { chunk ->
            chunk.forEach { cell.join("w$it", ExecutorKind.WORKER, WORKER, "rack${it / RACK_SIZE}") }
        }
        return cell
    }

    /** Fills a cell, keeps a backlog, then ends tasks one by one and times each decision. */
    private fun churn(
        workerCount: Int,
        target: Int,
        policy: CellPolicy,
        starts: Int,
    ): ChurnStats {
        val random = SplittableRandom(seed)
        val virtual = cellWithWorkers(workerCount, policy)
        val runningAttempts = ArrayList<CellEffect.Start>()
        val perWorker = target.toDouble() / workerCount
        val cpu = (WORKER.milliCpus / perWorker).toInt()
        val memory = (WORKER.memoryMb / perWorker).toInt()
        var job = 0
        var queued = 0

        fun submit() {
            val tasks = 1 + random.nextInt(2 * MEAN_TASKS)
            val need = Resources(cpu / 2 + random.nextInt(cpu), memory / 2 + random.nextInt(memory))
            val team = TeamId("team${1 + random.nextInt(teams)}")
            val spec = JobSpec(WorkKind.BATCH, tasks = tasks, need = need)
            val effects = virtual.cell.reduce(CellBatch(virtual.now, listOf(virtual.submitCommand(team, "j${job++}", spec))))
            queued += tasks
            effects.forEach { if (it is CellEffect.Start) runningAttempts.add(it).also { queued-- } }
        }
        while (runningAttempts.size < target * FILL_FRACTION && queued < BACKLOG) submit()
        while (queued < BACKLOG) submit()
        val histogram = Histogram(3)
        var started = 0
        var nanos = 0L
        while (started < starts) {
            val endedAttempt = runningAttempts.removeAt(random.nextInt(runningAttempts.size))
            val batch =
                CellBatch(
                    virtual.now + started / STARTS_PER_MILLI,
                    listOf(CellCommand.Ended(endedAttempt.executor, AttemptReport(endedAttempt.attempt, AttemptState.COMPLETED))),
                )
            val begin = System.nanoTime()
            val effects = virtual.cell.reduce(batch)
            val took = System.nanoTime() - begin
            histogram.recordValue(took)
            nanos += took
            effects.forEach {
                if (it is CellEffect.Start) {
                    runningAttempts.add(it)
                    started++
                    queued--
                }
            }
            while (queued < BACKLOG) submit()
        }
        return ChurnStats(
            startsPerSecond = started * NANOS_PER_SECOND / nanos,
            p50Micros = histogram.getValueAtPercentile(50.0) / NANOS_PER_MICRO,
            p99Micros = histogram.getValueAtPercentile(99.0) / NANOS_PER_MICRO,
        )
    }

    private fun bytesPerTask(): Double {
        val virtual = cellWithWorkers(workers, CellPolicy())
        val before = usedBytes()
        var started = 0
        var job = 0
        val need = Resources(WORKER.milliCpus * workers / running * 9 / 10, WORKER.memoryMb * workers / running * 9 / 10)
        while (started < running) {
            val spec = JobSpec(WorkKind.BATCH, tasks = minOf(MEAN_TASKS, running - started), need = need)
            val command = virtual.submitCommand(TeamId("team${1 + job % teams}"), "job-${job++}", spec)
            val effects = virtual.cell.reduce(CellBatch(virtual.now, listOf(command)))
            val startedNow = effects.count { it is CellEffect.Start }
            if (startedNow == 0) break
            started += startedNow
        }
        val after = usedBytes()
        check(
            virtual.cell.state.jobs
                .isNotEmpty(),
        )
        return (after - before).toDouble() / started
    }

    private fun usedBytes(): Long {
        repeat(GC_ROUNDS) { System.gc() }
        val runtime = Runtime.getRuntime()
        return runtime.totalMemory() - runtime.freeMemory()
    }

    companion object {
        val WORKER = Resources(milliCpus = 64_000, memoryMb = 262_144)
        private const val LARGE_WORKERS = 23_000
        private const val LARGE_RUNNING = 430_000
        private const val KAKI_ENDPOINTS = 33
        private const val PHU_HOA_ENDPOINTS = 32
        private const val PACKING_WORKERS = 200
        private const val RACK_SIZE = 8
        private const val JOIN_CHUNK = 100
        private const val MEAN_TASKS = 10
        private const val FILL_FRACTION = 0.97
        private const val BACKLOG = 4_000
        private const val WARM_UP_STARTS = 100_000
        private const val MEASURED_STARTS = 200_000
        private const val BASELINE_STARTS = 5_000
        private const val STARTS_PER_MILLI = 20
        private const val GC_ROUNDS = 4
        private const val NANOS_PER_SECOND = 1e9
        private const val NANOS_PER_MICRO = 1e3
    }
}
