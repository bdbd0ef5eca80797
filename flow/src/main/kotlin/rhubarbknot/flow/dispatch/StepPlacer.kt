package rhubarbknot.flow.dispatch

import rhubarbknot.core.model.Resources
import rhubarbknot.flow.model.RunId
import rhubarbknot.flow.state.Assignment
import rhubarbknot.flow.state.FlowState

/** Why a ready step is not started. */
internal enum class WaitReason(
    /** Whether the step could start if there were more room, or sooner. */
    val isForRoom: Boolean = false,
) {
    /** Runs of the previous attempt of the gang have not ended yet. */
    GANG_STILL_ENDING,
    TEAM_AT_CEILING,

    /** No usable worker has the label that the step requires. */
    NO_ABLE_WORKER,

    /** The eligibility service has not responded yet. */
    ELIGIBILITY_ASKED(isForRoom = true),

    /** All hosts that may ask long questions are busy; the step asks in its turn, about the workers that have room by then. */
    ELIGIBILITY_DEFERRED(isForRoom = true),

    /** The eligible workers have too few free resources. */
    NO_ELIGIBLE_ROOM(isForRoom = true),
    NO_ROOM(isForRoom = true),

    /** Workers have room for the step, but take fewer new runs for now because of their records. */
    WORKERS_LIMITED(isForRoom = true),

    /** A task may crash its workers, and other jobs have just started runs on the workers with room, or the other way round. */
    START_ISOLATED(isForRoom = true),
}

/** Result of placing a step. */
internal sealed interface PlacementResult {
    class Placed(
        val runs: List<PlannedRun>,
    ) : PlacementResult

    class NotPlaced(
        val reason: WaitReason,
    ) : PlacementResult
}

/**
 * Selects workers for the tasks of a step: first by data locality, then by best fit, so that whole workers stay free for
 * large tasks. A gang is placed only as a whole. For missing or expired tickets the eligibility service is asked, limited
 * to workers with enough free resources once the step has been asked about.
 */
internal class StepPlacer(
    private val state: FlowState,
    private val eligibility: EligibilityTracker,
    private val usage: TeamUsage,
    private val failures: StepFailures,
) {
    /** Begins a pass over the waiting steps at [now]. */
    fun beginPass(now: Long) = eligibility.beginPass(now)

    /**
     * Places as many tasks of [step] as fit into [free] at [now], at most [maxRuns] unless they are a gang, or returns why none can be
     * placed.
     */
    fun place(
        step: WaitingStep,
        free: FreeCapacity,
        runs: RunTracker,
        now: Long,
        maxRuns: Int,
    ): PlacementResult {
        val spec = step.spec
        if (spec.gang && step.waitingCount < spec.count) return PlacementResult.NotPlaced(WaitReason.GANG_STILL_ENDING)
        val ceiling = ceilingOf(step)
        val minDemand = if (spec.gang) spec.demand * spec.count else spec.demand
        if (!fitsCeiling(usage.of(step.team) + minDemand, ceiling)) return PlacementResult.NotPlaced(WaitReason.TEAM_AT_CEILING)
        val candidates = findCandidates(step, free, now)
        if (candidates.isEmpty()) return PlacementResult.NotPlaced(WaitReason.NO_ABLE_WORKER)
        val fit = StepFit(step, free, runs, now)
        if (step.queue.eligibility == null) return assignTasks(step, candidates, free, fit, ceiling, null, now, maxRuns)
        val ticketLookup = lookUpTickets(step, candidates, fit, now)
        if (ticketLookup is TicketLookup.Missing) return PlacementResult.NotPlaced(ticketLookup.reason)
        val tickets = (ticketLookup as TicketLookup.Valid).tickets
        return assignTasks(step, candidates.filter { it in tickets }, free, fit, ceiling, tickets, now, maxRuns)
    }

    /**
     * Reserves resources for a waiting gang on workers that may run it, so that later steps do not take them. Without the
     * reservation, a gang would starve while smaller tasks use whatever becomes free.
     */
    fun reserve(
        step: WaitingStep,
        free: FreeCapacity,
        runs: RunTracker,
        now: Long,
    ) {
        val spec = step.spec
        if (!fitsCeiling(usage.of(step.team) + spec.demand * spec.count, ceilingOf(step))) return
        free.reserve(withTickets(step, findCandidates(step, free, now)), step, StepFit(step, free, runs, now))
    }

    /**
     * Reserves the team's ceiling for the gang [step], so that later steps of the team do not use it up. Does nothing if the ceiling or
     * the workers can't hold the gang, however many runs end.
     */
    fun reserveCeiling(
        step: WaitingStep,
        free: FreeCapacity,
        runs: RunTracker,
        now: Long,
    ) {
        val totalDemand = step.spec.demand * step.spec.count
        if (!fitsCeiling(usage.ofLasting(step.team) + totalDemand, ceilingOf(step))) return
        val candidates = findCandidates(step, free, now)
        // Which workers may run the step is asked only once its team is below the ceiling.
        val allowed = if (eligibility.isAsked(step.key)) withTickets(step, candidates) else candidates
        if (StepFit(step, free, runs, now).canHoldAll(allowed)) usage.reserve(step.team, totalDemand)
    }

    /** Those of [candidates] that have a ticket for [step], valid or expired; all of them if it needs none. */
    private fun withTickets(
        step: WaitingStep,
        candidates: List<WorkerRecord>,
    ): List<WorkerRecord> {
        if (step.queue.eligibility == null) return candidates
        val withTicket = eligibility.allowed(step.key)
        return candidates.filter { it.incarnation in withTicket }
    }

    /** The ceiling of the step's team, which a team that was removed keeps. */
    private fun ceilingOf(step: WaitingStep): Resources = state.team(step.team)?.ceiling ?: Resources.NONE

    /** Workers with the required label, without those on which the step failed shortly before unless no others remain. */
    private fun findCandidates(
        step: WaitingStep,
        free: FreeCapacity,
        now: Long,
    ): List<WorkerRecord> {
        val label = step.spec.label
        val labelled = if (label.isEmpty()) free.workers else free.workers.filter { label in it.report?.labels.orEmpty() }
        val failed = failures.of(step.key, now)
        if (failed.isEmpty()) return labelled
        return labelled.filter { it.incarnation !in failed }.ifEmpty { labelled }
    }

    /** Returns valid tickets with which tasks of [step] can start now; otherwise requests missing tickets from the service. */
    private fun lookUpTickets(
        step: WaitingStep,
        candidates: List<WorkerRecord>,
        fit: StepFit,
        now: Long,
    ): TicketLookup {
        val record = eligibility.track(step.key, checkNotNull(step.queue.eligibility), step.queue.priority)
        if (record.hasOpenRequest) return TicketLookup.Missing(WaitReason.ELIGIBILITY_ASKED)
        if (record.asked.isEmpty()) {
            // Most steps of a full pool end here in most passes, so the workers are not sorted for them.
            if (!eligibility.mayAsk(record, minOf(candidates.size, MAX_WORKERS_PER_REQUEST), now)) return DEFERRED
            return ask(step, candidates.sortedByDescending { fit.available(it).milliCpus }.take(MAX_WORKERS_PER_REQUEST))
        }
        val withCapacity = candidates.filter { fit.slots(it) > 0 }
        val valid = LinkedHashMap<WorkerRecord, Ticket>()
        withCapacity.forEach { worker -> record.valid(worker.incarnation, now)?.let { valid[worker] = it } }
        val neededSlots = if (step.spec.gang) step.spec.count else 1
        if (valid.keys.sumOf { fit.slots(it) } >= neededSlots) return TicketLookup.Valid(valid)
        val toAsk =
            (
                valid.keys +
                    withCapacity.filter { it !in valid && (it.incarnation in record.tickets || it.incarnation !in record.asked) }
            ).take(MAX_WORKERS_PER_REQUEST)
        val reachableSlots = toAsk.sumOf { fit.slots(it) }
        if (toAsk.size <= valid.size || reachableSlots < neededSlots) return TicketLookup.Missing(WaitReason.NO_ELIGIBLE_ROOM)
        return if (eligibility.mayAsk(record, toAsk.size, now)) ask(step, toAsk) else DEFERRED
    }

    private fun ask(
        step: WaitingStep,
        workers: List<WorkerRecord>,
    ): TicketLookup {
        eligibility.ask(step.key, workers.map { it.incarnation })
        return TicketLookup.Missing(WaitReason.ELIGIBILITY_ASKED)
    }

    private sealed interface TicketLookup {
        class Valid(
            val tickets: Map<WorkerRecord, Ticket>,
        ) : TicketLookup

        class Missing(
            val reason: WaitReason,
        ) : TicketLookup
    }

    /** For a rack-local step, the [eligibleWorkers] of the tightest rack that holds all waiting tasks; otherwise all of them. */
    private fun preferSingleRack(
        step: WaitingStep,
        eligibleWorkers: List<WorkerRecord>,
        fit: StepFit,
    ): List<WorkerRecord> {
        if (!step.spec.rackLocal) return eligibleWorkers
        val racks = eligibleWorkers.groupBy { it.report?.rack }.values
        val fittingRacks = racks.filter { rack -> rack.sumOf { fit.slots(it) } >= step.waitingCount }
        return fittingRacks.minByOrNull { rack -> rack.sumOf { fit.available(it).milliCpus } } ?: eligibleWorkers
    }

    private fun assignTasks(
        step: WaitingStep,
        eligibleWorkers: List<WorkerRecord>,
        free: FreeCapacity,
        fit: StepFit,
        ceiling: Resources,
        tickets: Map<WorkerRecord, Ticket>?,
        now: Long,
        maxRuns: Int,
    ): PlacementResult {
        val spec = step.spec
        val startable = eligibleWorkers.filter { free.isolation.allows(it, step) }
        val taskSlots = TaskSlots(step, preferSingleRack(step, startable, fit), fit, now)
        val planned = ArrayList<PlannedRun>()
        var teamUsage = usage.of(step.team)
        val gangRun = if (spec.gang) step.tasks.maxOf { it.run } + 1 else 0
        for (index in step.waiting()) {
            if (!spec.gang && planned.size >= maxRuns) break
            if (!fitsCeiling(teamUsage + spec.demand, ceiling)) break
            val worker = taskSlots.takeBest() ?: break
            teamUsage += spec.demand
            val run = RunId(step.taskId(index), if (spec.gang) gangRun else step.tasks[index].run + 1)
            val waited = now - step.job.acceptedAtMillis
            planned +=
                PlannedRun(Assignment(run, worker.incarnation), worker, step.team, spec.demand, tickets?.get(worker), waited, step.tier)
        }
        return if (planned.isEmpty() ||
            (spec.gang && planned.size < spec.count)
        ) {
            PlacementResult.NotPlaced(reasonNotPlaced(step, eligibleWorkers, startable, free, fit))
        } else {
            planned.forEach { free.isolation.place(it.worker, step) }
            PlacementResult.Placed(planned)
        }
    }

    /** Why [step] was not placed on [startable], the [eligibleWorkers] that the isolation of starts allows. */
    private fun reasonNotPlaced(
        step: WaitingStep,
        eligibleWorkers: List<WorkerRecord>,
        startable: List<WorkerRecord>,
        free: FreeCapacity,
        fit: StepFit,
    ): WaitReason {
        if (startable.size == eligibleWorkers.size) {
            return if (free.hasLimits && fit.hasRoomBeyondLimits(startable)) WaitReason.WORKERS_LIMITED else WaitReason.NO_ROOM
        }
        val isolated = eligibleWorkers - startable.toSet()
        val withCapacity = isolated.filter { fit.slots(it) > 0 }
        if (withCapacity.isEmpty()) return WaitReason.NO_ROOM
        // A gang that the workers can't hold would keep them from other jobs for nothing.
        val isHolding = step.isSuspect && (!step.spec.gang || fit.canHoldAll(eligibleWorkers))
        if (isHolding) free.isolation.hold(withCapacity, step, if (step.spec.gang) step.spec.count else 1)
        return WaitReason.START_ISOLATED
    }

    private fun fitsCeiling(
        usage: Resources,
        ceiling: Resources,
    ): Boolean =
        (ceiling.milliCpus == 0 || usage.milliCpus <= ceiling.milliCpus) &&
            (ceiling.memoryMb == 0 || usage.memoryMb <= ceiling.memoryMb) &&
            (ceiling.accelerators == 0 || usage.accelerators <= ceiling.accelerators)

    private companion object {
        /** Maximum number of workers that the eligibility service accepts in one request. */
        const val MAX_WORKERS_PER_REQUEST = 100
        val DEFERRED = TicketLookup.Missing(WaitReason.ELIGIBILITY_DEFERRED)
    }
}
