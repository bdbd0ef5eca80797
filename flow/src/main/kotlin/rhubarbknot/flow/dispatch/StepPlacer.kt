package rhubarbknot.flow.dispatch

import rhubarbknot.core.model.Resources
import rhubarbknot.flow.model.Configuration
import rhubarbknot.flow.model.RunId
import rhubarbknot.flow.model.StepSpec
import rhubarbknot.flow.state.Assignment

/** Why a step that is ready does not start. */
internal enum class WaitReason {
    /** Not all runs of the gang's last attempt are over. */
    GANG_STILL_ENDING,
    TEAM_AT_CEILING,

    /** No usable worker carries the label that the step asks for. */
    NO_ABLE_WORKER,

    /** The eligibility service has not answered yet. */
    ELIGIBILITY_ASKED,

    /** The workers that may run it are full. */
    NO_ELIGIBLE_ROOM,
    NO_ROOM,
}

/** What came of trying to place a step. */
internal sealed interface PlacementResult {
    class Placed(
        val runs: List<PlannedRun>,
    ) : PlacementResult

    class NotPlaced(
        val reason: WaitReason,
    ) : PlacementResult
}

/**
 * Decides where the tasks of a step start: near their data, then by the tightest fit, so that whole workers stay free
 * for large tasks; a gang only as a whole. Steps whose tickets are missing or have run out are asked about, as far as
 * there is room for them.
 */
internal class StepPlacer(
    private val eligibility: EligibilityTracker,
    private val use: TeamUsage,
    private val failures: StepFailures,
) {
    /** Places what can be placed of [step] in [free] at [now], or says why nothing can. */
    fun place(
        step: WaitingStep,
        configuration: Configuration,
        free: FreeCapacity,
        runs: RunTracker,
        now: Long,
    ): PlacementResult {
        val spec = step.spec
        if (spec.gang && step.waiting.size < spec.count) return PlacementResult.NotPlaced(WaitReason.GANG_STILL_ENDING)
        val ceiling = ceilingOf(step, configuration)
        val least = if (spec.gang) spec.demand * spec.count else spec.demand
        if (!fitsCeiling(use.of(step.team) + least, ceiling)) return PlacementResult.NotPlaced(WaitReason.TEAM_AT_CEILING)
        val able = able(step, free)
        if (able.isEmpty()) return PlacementResult.NotPlaced(WaitReason.NO_ABLE_WORKER)
        if (step.queue.eligibility == null) return choose(step, able, free, ceiling, null, runs, now)
        val permits = permits(step, able, free, now)
        if (permits is Permits.Missing) return PlacementResult.NotPlaced(permits.reason)
        val tickets = (permits as Permits.Valid).tickets
        return choose(step, able.filter { it in tickets }, free, ceiling, tickets, runs, now)
    }

    /**
     * Keeps the room that a gang waits for from steps that come after it, on workers that may run it. Without it a gang
     * would wait for as long as smaller tasks take up whatever becomes free.
     */
    fun reserve(
        step: WaitingStep,
        configuration: Configuration,
        free: FreeCapacity,
    ) {
        val spec = step.spec
        if (!fitsCeiling(use.of(step.team) + spec.demand * spec.count, ceilingOf(step, configuration))) return
        val able = able(step, free)
        val allowed =
            if (step.queue.eligibility ==
                null
            ) {
                able
            } else {
                eligibility.allowed(step.key).let { may -> able.filter { it.life in may } }
            }
        free.reserve(allowed, spec)
    }

    /** Keeps what the team's ceiling leaves from steps of the team that come after the gang [step]. */
    fun reserveCeiling(
        step: WaitingStep,
        configuration: Configuration,
    ) {
        val whole = step.spec.demand * step.spec.count
        if (fitsCeiling(whole, ceilingOf(step, configuration))) use.hold(step.team, whole)
    }

    private fun ceilingOf(
        step: WaitingStep,
        configuration: Configuration,
    ): Resources = configuration.team(step.team)?.ceiling ?: Resources.NONE

    /** Workers that carry the label, those where the step failed left out while there are others. */
    private fun able(
        step: WaitingStep,
        free: FreeCapacity,
    ): List<WorkerRecord> {
        val label = step.spec.label
        val labelled = if (label.isEmpty()) free.workers else free.workers.filter { label in it.report?.labels.orEmpty() }
        val failed = failures.of(step.key)
        if (failed.isEmpty()) return labelled
        return labelled.filter { it.life !in failed }.ifEmpty { labelled }
    }

    /** Tickets with which something of [step] can start now; asks the service for what is missing. */
    private fun permits(
        step: WaitingStep,
        able: List<WorkerRecord>,
        free: FreeCapacity,
        now: Long,
    ): Permits {
        val record = eligibility.track(step.key, checkNotNull(step.queue.eligibility), step.queue.priority)
        if (record.questionOpen) return Permits.Missing(WaitReason.ELIGIBILITY_ASKED)
        if (record.asked.isEmpty()) {
            eligibility.ask(step.key, able.sortedByDescending { free.of(it).milliCpus }.take(MAX_NAMED).map { it.life })
            return Permits.Missing(WaitReason.ELIGIBILITY_ASKED)
        }
        val roomy = able.filter { step.spec.demand.fitsIn(free.of(it)) }
        val valid = HashMap<WorkerRecord, Ticket>()
        roomy.forEach { worker -> record.valid(worker.life, now)?.let { valid[worker] = it } }
        val wanted = if (step.spec.gang) step.spec.count else 1
        if (valid.keys.sumOf { slotsOn(it, step, free) } >= wanted) return Permits.Valid(valid)
        val again = (valid.keys + roomy.filter { it !in valid && (it.life in record.tickets || it.life !in record.asked) }).take(MAX_NAMED)
        val reachable = again.sumOf { slotsOn(it, step, free) }
        if (again.size <= valid.size || reachable < wanted) return Permits.Missing(WaitReason.NO_ELIGIBLE_ROOM)
        eligibility.ask(step.key, again.map { it.life })
        return Permits.Missing(WaitReason.ELIGIBILITY_ASKED)
    }

    private sealed interface Permits {
        class Valid(
            val tickets: Map<WorkerRecord, Ticket>,
        ) : Permits

        class Missing(
            val reason: WaitReason,
        ) : Permits
    }

    private fun slotsOn(
        worker: WorkerRecord,
        step: WaitingStep,
        free: FreeCapacity,
    ): Int = slots(free.of(worker), step.spec)

    /** How many tasks of [spec] fit into [room]. */
    private fun slots(
        room: Resources,
        spec: StepSpec,
    ): Int {
        val byCpu = if (spec.demand.milliCpus > 0) room.milliCpus / spec.demand.milliCpus else spec.count
        val byMemory = if (spec.demand.memoryMb > 0) room.memoryMb / spec.demand.memoryMb else spec.count
        val most = maxOf(0, minOf(byCpu, byMemory, spec.count))
        return if (spec.spreadLimit > 0) minOf(most, spec.spreadLimit) else most
    }

    /** Of [open], the workers of the best rack where the step wants one rack and all that waits fits there. */
    private fun nearData(
        step: WaitingStep,
        open: List<WorkerRecord>,
        free: FreeCapacity,
    ): List<WorkerRecord> {
        if (!step.spec.rackLocal) return open
        val racks = open.groupBy { it.report?.rack }.values
        val whole = racks.filter { rack -> rack.sumOf { slotsOn(it, step, free) } >= step.waiting.size }
        return whole.minByOrNull { rack -> rack.sumOf { free.of(it).milliCpus } } ?: open
    }

    private fun choose(
        step: WaitingStep,
        open: List<WorkerRecord>,
        free: FreeCapacity,
        ceiling: Resources,
        tickets: Map<WorkerRecord, Ticket>?,
        runs: RunTracker,
        now: Long,
    ): PlacementResult {
        val spec = step.spec
        val places = Places(step, nearData(step, open, free), free, runs)
        val out = ArrayList<PlannedRun>()
        var teamUse = use.of(step.team)
        val gangRun = if (spec.gang) step.tasks.maxOf { it.run } + 1 else 0
        for (index in step.waiting) {
            if (!fitsCeiling(teamUse + spec.demand, ceiling)) break
            val worker = places.takeBest() ?: break
            teamUse += spec.demand
            val run = RunId(step.taskId(index), if (spec.gang) gangRun else step.tasks[index].run + 1)
            val waited = now - step.job.acceptedAtMillis
            out += PlannedRun(Assignment(run, worker.life), worker, step.team, spec.demand, tickets?.get(worker), waited, step.tier)
        }
        return if (out.isEmpty() ||
            (spec.gang && out.size < spec.count)
        ) {
            PlacementResult.NotPlaced(WaitReason.NO_ROOM)
        } else {
            PlacementResult.Placed(out)
        }
    }

    private fun fitsCeiling(
        use: Resources,
        ceiling: Resources,
    ): Boolean =
        (ceiling.milliCpus == 0 || use.milliCpus <= ceiling.milliCpus) &&
            (ceiling.memoryMb == 0 || use.memoryMb <= ceiling.memoryMb) &&
            (ceiling.accelerators == 0 || use.accelerators <= ceiling.accelerators)

    /** Places for the tasks of one step, taken one by one. */
    private class Places(
        private val step: WaitingStep,
        open: List<WorkerRecord>,
        free: FreeCapacity,
        runs: RunTracker,
    ) {
        private val demand = step.spec.demand
        private val room = HashMap<WorkerRecord, Resources>()
        private val allowed = HashMap<WorkerRecord, Int>()

        init {
            val onWorker = HashMap<String, Int>()
            if (step.spec.spreadLimit > 0) {
                // Runs that may exist or are about to be proposed count, too.
                step.tasks.indices.forEach { i -> runs.of(step.taskId(i))?.let { onWorker.merge(it.worker.life.id, 1, Int::plus) } }
            }
            open.forEach { worker ->
                val bySpread = if (step.spec.spreadLimit > 0) step.spec.spreadLimit - (onWorker[worker.life.id] ?: 0) else Int.MAX_VALUE
                val starts = minOf(bySpread, free.startsLeft(worker))
                if (starts > 0 && demand.fitsIn(free.of(worker))) {
                    room[worker] = free.of(worker)
                    allowed[worker] = starts
                }
            }
        }

        /** The best place for one more task, counted as taken; null when there is none. */
        fun takeBest(): WorkerRecord? {
            val best = room.keys.minWithOrNull(compareBy({ !isNear(it) }, { room.getValue(it).milliCpus }, { it.life.id })) ?: return null
            val left = room.getValue(best) - demand
            val starts = allowed.getValue(best) - 1
            if (starts > 0 && demand.fitsIn(left)) {
                room[best] = left
                allowed[best] = starts
            } else {
                room.remove(best)
            }
            return best
        }

        private fun isNear(worker: WorkerRecord): Boolean = step.spec.dataRack.isEmpty() || worker.report?.rack == step.spec.dataRack
    }

    private companion object {
        /** Most workers that the eligibility service takes in one question. */
        const val MAX_NAMED = 100
    }
}
