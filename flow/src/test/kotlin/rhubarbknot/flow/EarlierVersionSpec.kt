package rhubarbknot.flow

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import rhubarbknot.core.model.Codec
import rhubarbknot.core.model.Resources
import rhubarbknot.flow.FlowFixture.end
import rhubarbknot.flow.FlowFixture.run
import rhubarbknot.flow.model.RunOutcome
import rhubarbknot.flow.model.TaskId
import rhubarbknot.flow.model.WorkerIncarnation
import rhubarbknot.flow.state.Assignment
import rhubarbknot.flow.state.FlowCommand
import rhubarbknot.flow.state.FlowState
import rhubarbknot.flow.state.JobPhase
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.util.Base64

/**
 * Reads a snapshot and log entries that version 835b1db wrote: its jobs name their queues and hold no settings of them. Jobs `a` (one
 * of two tasks done), `b` (its only run rejected), `g` (a gang that has failed once) and `o` (in the queue `other`) are unfinished; `c` is done.
 */
@DisplayName("the state, from the disk of an earlier version")
class EarlierVersionSpec {
    private val worker = WorkerIncarnation("w1", 7)
    private val state = FlowState().also { it.restore(Base64.getMimeDecoder().decode(resource("snapshot-835b1db.base64"))) }
    private val entries =
        resource("entries-835b1db.base64").trim().lines().map {
            Codec.decode(FlowCommand.serializer(), Base64.getDecoder().decode(it))
        }

    private fun resource(name: String): String = checkNotNull(javaClass.getResource("/rhubarbknot/flow/$name")).readText()

    private fun pending(queue: String): Int = state.pending(checkNotNull(state.configuration?.queue(queue)))

    @Test
    fun `counts as pending what has not started, and knows the queue of each unfinished job`() {
        expectThat(pending("q")).isEqualTo(1)
        expectThat(pending("other")).isEqualTo(1)
        listOf("a", "b", "g", "o").forEach { expectThat(state.job(it)?.queue?.pool).isEqualTo("pool") }
        expectThat(state.job("c")?.phase).isEqualTo(JobPhase.COMPLETED)
    }

    @Test
    fun `keeps failures and checkpoint of a gang`() {
        val gang = checkNotNull(state.job("g"))
        expectThat(gang.failures(0)).isEqualTo(1)
        expectThat(gang.checkpoint(TaskId("g", 0, 0, 2))).isEqualTo("c2")
    }

    @Test
    fun `goes on with log entries that rename one queue, remove another and cancel a job`() {
        entries.forEach { state.apply(it) }
        expectThat(state.configuration?.version).isEqualTo(2)
        expectThat(state.job("d")?.queue?.name).isEqualTo("renamed")
        expectThat(state.job("o")?.queue?.name).isEqualTo("other")
        expectThat(state.job("a")?.phase).isEqualTo(JobPhase.CANCELLED)
        expectThat(pending("renamed")).isEqualTo(1)
        expectThat(state.team("team")?.ceiling).isNotNull().isEqualTo(Resources(9_000, 9_000))
        val runs = listOf(run("o"), run("d", step = 1))
        expectThat(runs.map { state.job(it.task.job)?.isReady(it.task.step) }).isEqualTo(listOf(true, true))
        state.apply(FlowCommand.Assign(runs.map { Assignment(it, worker) }))
        (1..3).forEach { number ->
            state.apply(FlowCommand.Assign(listOf(Assignment(run("o", number = number), worker))))
            state.apply(FlowCommand.Ended(listOf(end(run("o", number = number), RunOutcome.FAILED)), 50))
        }
        expectThat(state.job("o")?.phase).isEqualTo(JobPhase.FAILED)
    }

    @Test
    fun `has the same snapshot after a restore of its own`() {
        entries.forEach { state.apply(it) }
        val restored = FlowState().also { it.restore(state.snapshot()) }
        expectThat(restored.snapshot().toList()).isEqualTo(state.snapshot().toList())
    }
}
