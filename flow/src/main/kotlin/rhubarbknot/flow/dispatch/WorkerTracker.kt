package rhubarbknot.flow.dispatch

import rhubarbknot.flow.model.WorkerCrash
import rhubarbknot.flow.model.WorkerIncarnation
import rhubarbknot.flow.model.WorkerReport
import rhubarbknot.flow.state.FlowCommand

/** Tracks known workers with one record per incarnation, and decides which of them may get runs. */
internal class WorkerTracker(
    private val settings: DispatchSettings,
    private val term: Long,
    private val startedAt: Long,
    private val runs: RunTracker,
    private val leases: LeaseManager,
    private val effects: EffectBuffer,
) {
    private val byIncarnation = LinkedHashMap<WorkerIncarnation, WorkerRecord>()
    private val byId = HashMap<String, LinkedHashSet<WorkerRecord>>()
    private val byAddress = HashMap<String, LinkedHashSet<WorkerRecord>>()
    private val touched = LinkedHashSet<WorkerRecord>()

    /** Serial number of the latest record, for its fencing token. */
    private var lastSerial = 0

    /** Incremented whenever a worker appears or becomes able or unable to get runs. */
    var changes = 0L
        private set

    val all: Collection<WorkerRecord> get() = byIncarnation.values

    /** Records that a call to [worker] may have become due. */
    fun touch(worker: WorkerRecord) {
        touched.add(worker)
    }

    /** Returns and clears the workers passed to [touch] since the last call. */
    fun takeTouched(): List<WorkerRecord> {
        if (touched.isEmpty()) return emptyList()
        val result = ArrayList(touched)
        touched.clear()
        return result
    }

    operator fun get(incarnation: WorkerIncarnation): WorkerRecord? = byIncarnation[incarnation]

    /**
     * Returns the record of [incarnation], or adds one that is known since [now]. A report from before this term does not count:
     * the earlier leader may have granted leases after it.
     */
    fun getOrAdd(
        incarnation: WorkerIncarnation,
        now: Long = startedAt,
    ): WorkerRecord =
        byIncarnation.getOrPut(incarnation) {
            WorkerRecord(incarnation, maxOf(now, startedAt), FencingToken.of(term, ++lastSerial)).also {
                byId.getOrPut(incarnation.id) { LinkedHashSet() }.add(it)
            }
        }

    /**
     * Terminates [predecessor], since [incarnation] has the same id and was started later. A start sent to the predecessor
     * may have reached its successor. Only the run list of the successor can tell, so the runs are moved to it.
     */
    fun replaceIncarnation(
        predecessor: WorkerRecord,
        incarnation: WorkerIncarnation,
        now: Long,
    ) {
        if (predecessor.terminated) return
        predecessor.terminated = true
        logOver(predecessor, "restarted under the same id", successor = incarnation)
        crashOf(predecessor, now)?.let { effects.propose(FlowCommand.Ended(emptyList(), now, crash = it)) }
        runs.moveRuns(getOrAdd(incarnation, now), predecessor)
    }

    /** Handles a worker's status report; [report] may be out of date. */
    fun updateReport(
        report: WorkerReport,
        now: Long,
    ) {
        val knownIncarnations = byId[report.life.id].orEmpty()
        if (knownIncarnations.any { it.incarnation.born > report.life.born }) return
        val predecessors = knownIncarnations.filter { it.incarnation.born < report.life.born && !it.terminated }
        byAddress[report.address]
            .orEmpty()
            .filter { it.incarnation.id != report.life.id && it.incarnation.born < report.life.born }
            .forEach { verifyAddress(it) }
        val record = getOrAdd(report.life, now)
        predecessors.forEach { replaceIncarnation(it, report.life, now) }
        val previous = record.report
        if (previous != null && !report.isNewerThan(previous)) return
        if (previous == null) logSeen(report, predecessors)
        if (previous == null || previous.draining != report.draining || previous.room != report.room) changes++
        if (previous != null && previous.address != report.address) byAddress[previous.address]?.remove(record)
        byAddress.getOrPut(report.address) { LinkedHashSet() }.add(record)
        record.report = report
        record.reportedAt = now
        record.readClock(report.clockMillis, now)
        record.markSurvivedStartsByClock(report.clockMillis - settings.startSurvivalMillis)
        touch(record)
    }

    /**
     * Asks at the address of [worker], which a later worker has reported as its own, who is there: it may not be that worker.
     * Until the answer, [worker] gets no more runs.
     */
    private fun verifyAddress(worker: WorkerRecord) {
        val address = worker.report?.address
        if (worker.terminated || worker.addressProbe != null || address == null) return
        val probe = WorkerCall.Renew(worker.incarnation, address, worker.fencingToken, lastSeen = 0, deadlineMillis = null, waitMillis = 0)
        worker.addressProbe = probe
        worker.addressDoubted = true
        changes++
        effects.call(probe, settings.callTimeoutMillis)
    }

    /** Records that [worker] has listed its runs, so it is still at its address. */
    fun confirmAddress(worker: WorkerRecord) {
        if (!worker.addressDoubted) return
        worker.addressDoubted = false
        changes++
    }

    /**
     * Gives no more runs to the worker called [id] until it is known which of its incarnations has left: the message may be a late
     * one of an earlier incarnation, and its sender may go on for a while. One that still lists its runs after the time of departure
     * has not left; the runs of one that falls silent are over when its lease is.
     */
    fun markLeaving(
        id: String,
        now: Long,
    ) {
        byId[id].orEmpty().forEach {
            if (!it.isLeaving) effects.logEvent(DispatchEvent.WORKER_LEAVING, it.incarnation.toString(), "runs=${it.runs.size}")
            it.leftAt = minOf(it.leftAt, now)
            touch(it)
        }
    }

    /** Records that [worker] goes on: the leave message came from an earlier incarnation. */
    fun cancelLeaving(worker: WorkerRecord) {
        worker.leftAt = Long.MAX_VALUE
        changes++
        effects.logEvent(DispatchEvent.LEAVE_IGNORED, worker.incarnation.toString(), "still lists its runs=${worker.runs.size}")
    }

    /** Marks [worker] as terminated for [reason]; it is guaranteed to run nothing any more. */
    fun markTerminated(
        worker: WorkerRecord,
        now: Long,
        reason: String,
    ) {
        if (worker.terminated) return
        worker.terminated = true
        logOver(worker, reason, successorAt(worker))
        runs.markRunsLost(worker, now, reason, crashOf(worker, now))
    }

    private fun crashOf(
        worker: WorkerRecord,
        now: Long,
    ): WorkerCrash? {
        val crash = CrashAnalyzer.crashOf(worker, now) ?: return null
        val starting = "starting=${crash.starting.map { it.task }} unconfirmed=${crash.unconfirmed.map { it.task }}"
        effects.logEvent(DispatchEvent.WORKER_CRASHED, worker.incarnation.toString(), "$starting running=${crash.running.size}")
        return crash
    }

    private fun logSeen(
        report: WorkerReport,
        predecessors: List<WorkerRecord>,
    ) {
        val place = "address=${report.address} zone=${report.zone} sequence=${report.sequence}"
        effects.logEvent(DispatchEvent.WORKER_SEEN, report.life.toString(), "$place predecessors=${predecessors.map { it.incarnation }}")
    }

    private fun logOver(
        worker: WorkerRecord,
        reason: String,
        successor: WorkerIncarnation?,
    ) {
        val facts = "runs=${worker.runs.size} address=${worker.report?.address} successor=${successor ?: "unknown"}"
        effects.logEvent(DispatchEvent.WORKER_OVER, worker.incarnation.toString(), "reason=$reason $facts")
    }

    /** The latest incarnation that has reported the address of [worker] as its own after it; null for none. */
    private fun successorAt(worker: WorkerRecord): WorkerIncarnation? =
        byAddress[worker.report?.address]
            .orEmpty()
            .map { it.incarnation }
            .filter { it.born > worker.incarnation.born }
            .maxByOrNull { it.born }

    /** Records that [worker], whose clock shows [clockMillis], has seen this leader's fencing token at [now]. */
    fun markFenced(
        worker: WorkerRecord,
        clockMillis: Long,
        now: Long,
    ) {
        worker.fenced = true
        leases.recordFencing(worker, clockMillis, now)
        changes++
    }

    /** Whether [worker] may get runs at [now]; workers in [drainedZones] may not. */
    fun isUsable(
        worker: WorkerRecord,
        drainedZones: Set<String>,
        now: Long,
    ): Boolean =
        isPresent(worker, drainedZones, now) &&
            !worker.addressDoubted &&
            worker.unansweredCalls == 0 &&
            worker.trust.acceptsRuns(now)

    /**
     * Whether [worker] counts as capacity: it may get runs at [now], or again within moments. When the leader's links are disturbed, many
     * workers leave a call unanswered at the same time, and few of them are lost.
     */
    fun isPresent(
        worker: WorkerRecord,
        drainedZones: Set<String>,
        now: Long,
    ): Boolean {
        val report = worker.report ?: return false
        return worker.fenced &&
            !worker.terminated &&
            !worker.isLeaving &&
            !report.draining &&
            report.zone !in drainedZones &&
            now - worker.reportedAt <= settings.reportTimeoutMillis
    }

    /** Removes workers without runs that are terminated or have not reported for a long time. */
    fun removeIdle(now: Long) {
        val removable = byIncarnation.values.filter { it.runs.isEmpty() && (it.terminated || now - it.reportedAt > settings.forgetMillis) }
        removable.forEach { worker ->
            byIncarnation.remove(worker.incarnation)
            byId.removeFrom(worker.incarnation.id, worker)
            worker.report?.let { byAddress.removeFrom(it.address, worker) }
        }
    }

    private fun HashMap<String, LinkedHashSet<WorkerRecord>>.removeFrom(
        key: String,
        worker: WorkerRecord,
    ) {
        val records = this[key] ?: return
        records.remove(worker)
        if (records.isEmpty()) remove(key)
    }
}
