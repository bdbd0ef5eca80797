package rhubarbknot.cli.bench

import rhubarbknot.core.cell.CellPolicy
import rhubarbknot.core.cell.ExecutorKind
import rhubarbknot.core.cell.QueueOrders
import rhubarbknot.core.cell.Scorers
import rhubarbknot.core.model.JobSpec
import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.model.WorkKind
import rhubarbknot.core.table.TeamRow
import java.util.SplittableRandom

/** Waits in virtual time: mean of all jobs, and maximum of the long ones. */
data class QueueWaits(
    val meanMillis: Long,
    val longestOfLongMillis: Long,
)

/** Measures what run-time estimates gain when every job declares the same wrong run time. */
class EstimateBench(
    private val seed: Long,
) {
    /**
     * Waits of short and long jobs that one team submits in bursts which the workers can just sustain; the queue is
     * ordered by estimate or else by arrival.
     */
    fun queueWaits(byEstimate: Boolean): QueueWaits {
        val random = SplittableRandom(seed)
        val order = if (byEstimate) QueueOrders.shorterFirst else QueueOrders.byArrival
        val cell = cell(CellPolicy(order = order), QUEUE_WORKERS)
        val waits = WaitRecorder(cell)
        repeat(QUEUE_SECONDS) { second ->
            val burst = if (second % BURST_EVERY < BURST_SECONDS) BURST_FACTOR else 1
            repeat(burst) {
                val long = random.nextInt(100) < LONG_PERCENT
                waits.submit(QUARTER, if (long) LONG else SHORT)
            }
            cell.run(cell.now + 1_000)
        }
        cell.run(cell.now + DRAIN_MILLIS)
        return QueueWaits(waits.of(SHORT, LONG).average().toLong(), waits.of(LONG).max())
    }

    /** Mean wait of jobs that need a whole worker, among small jobs with short and long run times. */
    fun wholeWorkerWait(byEstimate: Boolean): Long {
        val random = SplittableRandom(seed)
        val packing = if (byEstimate) Scorers.bestFitAligned else Scorers.bestFit
        val cell = cell(CellPolicy(packing = packing), PACK_WORKERS)
        val waits = WaitRecorder(cell)
        repeat(PACK_SECONDS) { second ->
            repeat(SHORT_PER_SECOND) { waits.submit(QUARTER, SHORT) }
            if (random.nextInt(100) < LONG_PERCENT_OF_SECONDS) waits.submit(QUARTER, LONG)
            if (second > WARM_SECONDS && second % WHOLE_EVERY == 0) waits.submit(DecideBench.WORKER, WHOLE)
            cell.run(cell.now + 1_000)
        }
        cell.run(cell.now + DRAIN_MILLIS)
        return waits.of(WHOLE).average().toLong()
    }

    private fun cell(
        policy: CellPolicy,
        workers: Int,
    ): VirtualCell {
        val random = SplittableRandom(seed)
        val cell = VirtualCell(policy, trueMillis = { meanMillis(it.spec.payload) * (50 + random.nextLong(100)) / 100 })
        cell.table(listOf(TeamRow(TEAM, share = 1, ceiling = 1_000_000)))
        repeat(workers) { cell.join("w$it", ExecutorKind.WORKER, DecideBench.WORKER) }
        return cell
    }

    private fun meanMillis(queue: String): Long =
        when (queue) {
            SHORT -> SHORT_MILLIS
            LONG -> LONG_MILLIS
            else -> WHOLE_MILLIS
        }

    /** Submits jobs and records the wait of each. */
    private class WaitRecorder(
        private val cell: VirtualCell,
    ) {
        private val submittedAt = HashMap<String, Long>()
        private val waitsByQueue = HashMap<String, ArrayList<Long>>()
        private var number = 0

        init {
            cell.onStart = { start ->
                submittedAt.remove(start.attempt.job.local)?.let {
                    waitsByQueue.getOrPut(start.spec.payload) { ArrayList() }.add(
                        start.atMillis - it,
                    )
                }
            }
        }

        fun submit(
            need: Resources,
            queue: String,
        ) {
            val id = "j${number++}"
            submittedAt[id] = cell.now
            cell.submit(TEAM, id, JobSpec(WorkKind.BATCH, need = need, expectedRunMillis = DECLARED_MILLIS, payload = queue), queue)
        }

        fun of(vararg queues: String): List<Long> {
            check(submittedAt.isEmpty()) { "${submittedAt.size} jobs never started" }
            return queues.flatMap { waitsByQueue[it].orEmpty() }
        }
    }

    private companion object {
        val TEAM = TeamId("mill")
        val QUARTER = Resources(DecideBench.WORKER.milliCpus / 4, DecideBench.WORKER.memoryMb / 4)
        const val SHORT = "reloads"
        const val LONG = "plans"
        const val WHOLE = "whole"
        const val DECLARED_MILLIS = 10_000L
        const val SHORT_MILLIS = 4_000L
        const val LONG_MILLIS = 120_000L
        const val WHOLE_MILLIS = 20_000L
        const val QUEUE_WORKERS = 20
        const val QUEUE_SECONDS = 3_600
        const val BURST_EVERY = 300
        const val BURST_SECONDS = 30
        const val BURST_FACTOR = 12
        const val LONG_PERCENT = 25
        const val PACK_WORKERS = 33
        const val PACK_SECONDS = 3_600
        const val WARM_SECONDS = 300
        const val SHORT_PER_SECOND = 16
        const val LONG_PERCENT_OF_SECONDS = 40
        const val WHOLE_EVERY = 10
        const val DRAIN_MILLIS = 1_200_000L
    }
}
