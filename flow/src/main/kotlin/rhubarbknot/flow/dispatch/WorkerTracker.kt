package rhubarbknot.flow.dispatch

import rhubarbknot.flow.model.WorkerIncarnation
import rhubarbknot.flow.model.WorkerReport

/** The workers that are known, one record for each life, and which of them may be given work. */
internal class WorkerTracker(
    private val settings: DispatchSettings,
    private val startedAt: Long,
    private val runs: RunTracker,
    private val out: EffectBuffer,
) {
    private val byLife = LinkedHashMap<WorkerIncarnation, WorkerRecord>()
    private val byId = HashMap<String, LinkedHashSet<WorkerRecord>>()
    private val byAddress = HashMap<String, LinkedHashSet<WorkerRecord>>()

    /** How often a worker came, or changed in what it may be given. */
    var changes = 0L
        private set

    val all: Collection<WorkerRecord> get() = byLife.values

    operator fun get(life: WorkerIncarnation): WorkerRecord? = byLife[life]

    /** The record of [life], which is known since [now] if it is new. */
    fun getOrAdd(
        life: WorkerIncarnation,
        now: Long = startedAt,
    ): WorkerRecord =
        byLife.getOrPut(life) {
            WorkerRecord(life, now).also { byId.getOrPut(life.id) { LinkedHashSet() }.add(it) }
        }

    /**
     * [earlier] is over, since [life] has the same id and was born later. A start that was meant for the earlier life may
     * have come to the later one, which only its lists can tell: so the runs are looked for there.
     */
    fun bornAnew(
        earlier: WorkerRecord,
        life: WorkerIncarnation,
        now: Long,
    ) {
        if (earlier.over) return
        earlier.over = true
        out.note(DispatchEvent.WORKER_OVER, earlier.life.id, "born anew runs=${earlier.runs.size}")
        runs.moveTo(getOrAdd(life, now), earlier)
    }

    /** A worker said something of itself; [report] may be old. */
    fun reported(
        report: WorkerReport,
        now: Long,
    ) {
        val lives = byId[report.life.id].orEmpty()
        if (lives.any { it.life.born > report.life.born }) return
        val earlier = lives.filter { it.life.born < report.life.born && !it.over }
        byAddress[report.address]
            .orEmpty()
            .filter { it.life.id != report.life.id && it.life.born < report.life.born }
            .forEach { over(it, now, "address taken over by ${report.life.id}") }
        val record = getOrAdd(report.life, now)
        earlier.forEach { bornAnew(it, report.life, now) }
        val known = record.report
        if (known != null && !report.isNewerThan(known)) return
        if (known == null || known.draining != report.draining) changes++
        if (known != null && known.address != report.address) byAddress[known.address]?.remove(record)
        byAddress.getOrPut(report.address) { LinkedHashSet() }.add(record)
        record.report = report
        record.reportedAt = now
        record.readClock(report.clockMillis, now)
    }

    /** A worker said that it ends now. */
    fun left(
        id: String,
        now: Long,
    ) {
        byId[id].orEmpty().forEach { it.leftAt = minOf(it.leftAt, now) }
    }

    /** [worker] surely runs nothing any more, for [why]. */
    fun over(
        worker: WorkerRecord,
        now: Long,
        why: String,
    ) {
        if (worker.over) return
        worker.over = true
        out.note(DispatchEvent.WORKER_OVER, worker.life.id, why)
        runs.giveUpOn(worker, now)
    }

    /** The worker has seen this leader's fencing token. */
    fun fenced(worker: WorkerRecord) {
        worker.fenced = true
        changes++
    }

    /** Whether [worker] may be given work at [now], [drainedZones] left out. */
    fun isUsable(
        worker: WorkerRecord,
        drainedZones: Set<String>,
        now: Long,
    ): Boolean {
        val report = worker.report ?: return false
        return worker.fenced &&
            !worker.over &&
            worker.leftAt == Long.MAX_VALUE &&
            !report.draining &&
            report.zone !in drainedZones &&
            worker.unanswered == 0 &&
            worker.trust.distrustedUntil <= now &&
            now - worker.reportedAt <= settings.reportTimeoutMillis
    }

    /** Forgets workers that have no runs and are over, or silent for long. */
    fun forgetIdle(now: Long) {
        val gone = byLife.values.filter { it.runs.isEmpty() && (it.over || now - it.reportedAt > settings.forgetMillis) }
        gone.forEach { worker ->
            byLife.remove(worker.life)
            byId.removeFrom(worker.life.id, worker)
            worker.report?.let { byAddress.removeFrom(it.address, worker) }
        }
    }

    private fun HashMap<String, LinkedHashSet<WorkerRecord>>.removeFrom(
        key: String,
        worker: WorkerRecord,
    ) {
        val there = this[key] ?: return
        there.remove(worker)
        if (there.isEmpty()) remove(key)
    }
}
