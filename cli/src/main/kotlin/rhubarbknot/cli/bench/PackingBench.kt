package rhubarbknot.cli.bench

import rhubarbknot.core.cell.CellPolicy
import rhubarbknot.core.cell.ExecutorKind
import rhubarbknot.core.model.JobSpec
import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.model.WorkKind
import rhubarbknot.core.table.TeamRow
import java.util.SplittableRandom

/** Measures the used fraction of the scarcer resource in a full cell; 1 is the upper bound of any placement. */
class PackingBench(
    private val seed: Long,
) {
    fun ratio(workers: Int): Double {
        val random = SplittableRandom(seed)
        val cell = VirtualCell(CellPolicy(), trueMillis = { 20_000 + random.nextLong(40_000) })
        cell.table(listOf(TeamRow(TEAM, share = 1, ceiling = 1_000_000)))
        repeat(workers) { cell.join("w$it", ExecutorKind.WORKER, DecideBench.WORKER) }
        var job = 0
        val samples = ArrayList<Double>()
        repeat(ROUNDS) { round ->
            while (waiting(cell) < BACKLOG) submit(cell, random, job++)
            cell.run(cell.now + ROUND_MILLIS)
            if (round >= WARM_ROUNDS) samples += used(cell, workers)
        }
        return samples.average()
    }

    private fun waiting(cell: VirtualCell): Int =
        cell.cell.state.teams
            .getValue(TEAM)
            .waiting

    private fun submit(
        cell: VirtualCell,
        random: SplittableRandom,
        number: Int,
    ) {
        val need = Resources(milliCpus = 500 * (1 + random.nextInt(16)), memoryMb = 1_024 * (1 + random.nextInt(48)))
        cell.submit(TEAM, "j$number", JobSpec(WorkKind.BATCH, need = need, expectedRunMillis = 60_000))
    }

    private fun used(
        cell: VirtualCell,
        workers: Int,
    ): Double {
        val pool =
            cell.cell.state.teams
                .getValue(TEAM)
                .pool(ExecutorKind.WORKER)
        val cpu = pool.milliCpus.toDouble() / (workers.toLong() * DecideBench.WORKER.milliCpus)
        val memory = pool.memoryMb.toDouble() / (workers.toLong() * DecideBench.WORKER.memoryMb)
        return maxOf(cpu, memory)
    }

    private companion object {
        val TEAM = TeamId("mill")
        const val ROUNDS = 30
        const val WARM_ROUNDS = 10
        const val ROUND_MILLIS = 5_000L
        const val BACKLOG = 400
    }
}
