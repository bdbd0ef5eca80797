package rhubarbknot.flow

import rhubarbknot.core.model.Resources
import rhubarbknot.flow.model.Configuration
import rhubarbknot.flow.model.JobRequest
import rhubarbknot.flow.model.Pool
import rhubarbknot.flow.model.Queue
import rhubarbknot.flow.model.RunEnd
import rhubarbknot.flow.model.RunId
import rhubarbknot.flow.model.RunOutcome
import rhubarbknot.flow.model.StepSpec
import rhubarbknot.flow.model.TaskId
import rhubarbknot.flow.model.Team
import rhubarbknot.flow.model.WorkerIncarnation
import rhubarbknot.flow.model.WorkerReport
import rhubarbknot.flow.state.FlowState

/** Builders for test data: one queue, one team and workers with four cores. */
internal object FlowFixture {
    val ONE_CORE = Resources(milliCpus = 1_000, memoryMb = 100)
    val ROOM = Resources(milliCpus = 4_000, memoryMb = 4_000)
    const val KEY = "key-1"

    fun configuration(
        version: Long = 1,
        ceiling: Resources = Resources.NONE,
        maxAttempts: Int = 2,
    ) = Configuration(
        version,
        listOf(Queue("q", "host", "/q/", "pool", maxAttempts = maxAttempts)),
        listOf(Pool("pool")),
        listOf(Team("team", listOf(KEY), ceiling = ceiling)),
        document = "document $version",
    )

    fun step(
        count: Int = 1,
        after: List<Int> = emptyList(),
        gang: Boolean = false,
        spreadLimit: Int = 0,
    ) = StepSpec(count, ONE_CORE, after = after, gang = gang, spreadLimit = spreadLimit)

    fun request(
        id: String,
        vararg steps: StepSpec,
    ) = JobRequest(id, "q", "team", "payload", steps.toList())

    fun report(
        id: String,
        born: Long = 1,
        clockMillis: Long = 0,
        sequence: Long = 1,
        draining: Boolean = false,
        zone: String = "z1",
        address: String = "10.0.0.1:$id",
    ) = WorkerReport(WorkerIncarnation(id, born), "pool", address, zone, draining, ROOM, emptyList(), "", clockMillis, sequence)

    /** Number of pending jobs of the queue called [queue], configured or not. */
    fun FlowState.pendingIn(queue: String): Int = pending(configuration?.queue(queue) ?: Queue(queue, "", "", ""))

    fun run(
        job: String,
        step: Int = 0,
        index: Int = 0,
        number: Int = 1,
    ) = RunId(TaskId(job, 0, step, index), number)

    fun end(
        run: RunId,
        ending: RunOutcome = RunOutcome.DONE,
        checkpoint: String = "",
    ) = RunEnd(run, ending, checkpoint)
}
