package rhubarbknot.cli.bench

import org.HdrHistogram.Histogram
import rhubarbknot.core.cell.CellPolicy
import rhubarbknot.core.cell.ExecutorKind
import rhubarbknot.core.model.AttemptId
import rhubarbknot.core.model.JobSpec
import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.model.WorkKind
import rhubarbknot.core.table.TeamRow
import java.util.SplittableRandom

/**
 * Urgent work in a cell full of batch work.
 *
 * @property waitP99Millis 99th percentile of the time that urgent work waited for its start.
 * @property workLostPercent processor time that batch tasks had used before urgent work stopped them, as a percentage of
 * the capacity of the cell: the loss if no checkpoint preserves any of it.
 * @property headroomPercent percentage of the cell that would have to be kept free to start the same urgent work without
 * a wait.
 */
data class UrgentStats(
    val waitP99Millis: Long,
    val workLostPercent: Double,
    val headroomPercent: Double,
)

/** Measures how long urgent work waits in a full cell, in virtual time. */
class WaitBench(
    private val seed: Long,
) {
    /** Urgent tasks on workers full of batch work that takes up to a second to checkpoint. */
    fun urgent(): UrgentStats {
        val random = SplittableRandom(seed)
        val cell =
            VirtualCell(
                CellPolicy(),
                trueMillis = { if (it.spec.urgent) URGENT_MILLIS else 600_000 },
                checkpointMillis = { 200 + random.nextLong(800) },
            )
        cell.table(listOf(TeamRow(BULK, 1, 1_000_000), TeamRow(CREW, 1, 1_000_000)))
        repeat(WORKERS) { cell.join("w$it", ExecutorKind.WORKER, DecideBench.WORKER) }
        repeat(BULK_TASKS) { cell.submit(BULK, "b$it", JobSpec(WorkKind.BATCH, need = Resources(2_000 + random.nextInt(4_000), 8_192))) }
        val submittedAt = HashMap<String, Long>()
        val histogram = Histogram(3)
        val bulkStarts = HashMap<AttemptId, AttemptStart>()
        val urgentSubmitTimes = ArrayList<Long>()
        val begin = cell.now
        var lostCpuMillis = 0.0
        cell.onStart = { start ->
            if (!start.spec.urgent) bulkStarts[start.attempt] = start
            submittedAt.remove(start.attempt.job.local)?.let { histogram.recordValue(start.atMillis - it) }
        }
        cell.onStop =
            { attempt -> bulkStarts.remove(attempt)?.let { lostCpuMillis += (cell.now - it.atMillis).toDouble() * it.spec.need.milliCpus } }
        repeat(URGENT_TASKS) { number ->
            val id = "u$number"
            submittedAt[id] = cell.now
            urgentSubmitTimes += cell.now
            cell.submit(CREW, id, JobSpec(WorkKind.BATCH, need = URGENT_NEED, urgent = true, idempotent = false))
            cell.run(cell.now + 1 + random.nextLong(2 * URGENT_GAP_MILLIS))
        }
        val all = WORKERS.toDouble() * DecideBench.WORKER.milliCpus
        val lostPercent = PERCENT * lostCpuMillis / (all * (cell.now - begin))
        cell.run(cell.now + DRAIN_MILLIS)
        submittedAt.values.forEach { histogram.recordValue(cell.now - it) }
        val maxConcurrentUrgent = urgentSubmitTimes.maxOf { at -> urgentSubmitTimes.count { it in at - URGENT_MILLIS + 1..at } }
        return UrgentStats(histogram.getValueAtPercentile(99.0), lostPercent, PERCENT * maxConcurrentUrgent * URGENT_NEED.milliCpus / all)
    }

    /**
     * 99th percentile of the waits of shift-calls among tallies that alone would fill 90 % of the slots, with periodic
     * bursts of calls, at the size of one deployment. Without [fair] it measures the baseline: first come, first served,
     * and no call is urgent.
     */
    fun shiftCallP99(
        endpoints: Int,
        fair: Boolean,
    ): Long {
        val random = SplittableRandom(seed)
        val cell = VirtualCell(CellPolicy(fairByShare = fair), trueMillis = { 50 + random.nextLong(100) })
        cell.table((1..TEAMS).map { TeamRow(TeamId("team$it"), share = it, ceiling = 1_000_000) })
        repeat(endpoints) { cell.join("e$it", ExecutorKind.ENDPOINT, Resources(slots = SLOTS)) }
        val submittedAt = HashMap<String, Long>()
        val histogram = Histogram(3)
        cell.onStart = { start -> submittedAt.remove(start.attempt.job.local)?.let { histogram.recordValue(start.atMillis - it) } }
        val perMilli = endpoints * SLOTS * LOAD / MEAN_CALL_MILLIS
        var due = 0.0
        var number = 0
        repeat(CALL_MILLIS) { millis ->
            due += perMilli * if (millis % BURST_EVERY < BURST_MILLIS) BURST_FACTOR else 1.0
            while (due >= 1) {
                due -= 1
                val shift = number % SHIFT_CALL_EVERY == 0
                val id = if (shift) "s$number" else "t$number"
                if (shift) submittedAt[id] = cell.now
                val team = TeamId("team${1 + random.nextInt(TEAMS)}")
                cell.submit(team, id, JobSpec(WorkKind.CALL, urgent = shift && fair, idempotent = !shift))
                number++
            }
            cell.run(cell.now + 1)
        }
        cell.run(cell.now + DRAIN_MILLIS)
        submittedAt.values.forEach { histogram.recordValue(cell.now - it) }
        return histogram.getValueAtPercentile(99.0)
    }

    private companion object {
        val BULK = TeamId("mill")
        val CREW = TeamId("crew")
        const val WORKERS = 33
        const val BULK_TASKS = 2_000
        val URGENT_NEED = Resources(4_000, 8_192)
        const val PERCENT = 100.0
        const val URGENT_MILLIS = 2_000L
        const val URGENT_TASKS = 1_000
        const val URGENT_GAP_MILLIS = 200L
        const val DRAIN_MILLIS = 30_000L
        const val TEAMS = 6
        const val SLOTS = 8
        const val LOAD = 0.9
        const val MEAN_CALL_MILLIS = 100.0
        const val CALL_MILLIS = 20_000
        const val BURST_EVERY = 5_000
        const val BURST_MILLIS = 500
        const val BURST_FACTOR = 3.0
        const val SHIFT_CALL_EVERY = 20
    }
}
