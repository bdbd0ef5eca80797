package rhubarbknot.host

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import rhubarbknot.core.cell.AttemptReport
import rhubarbknot.core.cell.AttemptState
import rhubarbknot.core.cell.ExecutorInfo
import rhubarbknot.core.cell.ExecutorKind
import rhubarbknot.core.model.AttemptId
import rhubarbknot.core.model.ExecutorId
import rhubarbknot.core.model.JobId
import rhubarbknot.core.model.JobSpec
import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.model.WorkKind
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

@DisplayName("the executor agent")
class ExecutorAgentSpec {
    private val agent = ExecutorAgent(ExecutorInfo(ExecutorId("board"), "1", ExecutorKind.ENDPOINT, Resources(slots = 8)))
    private val attempt = AttemptId(JobId(TeamId("crew"), "call"), 0, 1)
    private var now = 1_000L

    private fun connect() {
        agent.connected(now)
        agent.received(ToExecutor.Lease(now, 3_000, term = 2), now)
    }

    private fun start(
        clock: Long = now,
        session: Long = 1,
        term: Long = 2,
    ) = agent.received(ToExecutor.Start(attempt, JobSpec(WorkKind.CALL), session, term, clock), now)

    private fun reports(effects: List<AgentEffect>) =
        effects
            .filterIsInstance<AgentEffect.Send>()
            .map { it.frame }
            .filterIsInstance<FromExecutor.Ended>()
            .map { it.report.state }

    @Test
    fun `runs an attempt once even if its start is duplicated`() {
        connect()
        expectThat(start()).containsExactly(AgentEffect.Run(attempt, JobSpec(WorkKind.CALL)))
        expectThat(start()).isEmpty()
        agent.ended(AttemptReport(attempt, AttemptState.COMPLETED, "done"), now)
        expectThat(start()).isEmpty()
        agent.received(ToExecutor.EndRecorded(attempt), now)
        expectThat(start()).isEmpty()
    }

    @Test
    fun `refuses a start that a paused host sends late`() {
        connect()
        val old = now
        now += 2_500
        expectThat(reports(start(clock = old))).containsExactly(AttemptState.NOT_STARTED)
        expectThat(agent.running).isEmpty()
    }

    @Test
    fun `refuses a start of an older session or from a replaced leader`() {
        connect()
        expectThat(reports(start(session = 0))).containsExactly(AttemptState.NOT_STARTED)
        val other = ExecutorAgent(ExecutorInfo(ExecutorId("b"), "1", ExecutorKind.ENDPOINT, Resources(slots = 8)))
        other.connected(now)
        other.received(ToExecutor.Lease(now, 3_000, term = 9), now)
        val late = other.received(ToExecutor.Start(attempt, JobSpec(WorkKind.CALL), 1, term = 8, now), now)
        expectThat(reports(late)).containsExactly(AttemptState.NOT_STARTED)
    }

    @Test
    fun `terminates running attempts when its lease expires by its own clock`() {
        connect()
        start()
        now += 3_000
        val effects = agent.tick(now)
        expectThat(effects.first()).isEqualTo(AgentEffect.Terminate(attempt))
        expectThat(agent.running).isEmpty()
    }

    @Test
    fun `reconnects after silence and reports running attempts in the hello`() {
        connect()
        start()
        now += 2_600
        expectThat(agent.tick(now)).containsExactly(AgentEffect.Reconnect(emptyList()))
        val hello =
            agent
                .connected(now)
                .filterIsInstance<AgentEffect.Send>()
                .map { it.frame }
                .first() as FromExecutor.Hello
        expectThat(hello.known.map { it.state }).containsExactly(AttemptState.RUNNING)
        expectThat(hello.info.session).isEqualTo(2)
    }

    @Test
    fun `accepts no new attempts once it is leaving`() {
        connect()
        agent.leave(now)
        expectThat(reports(start())).containsExactly(AttemptState.NOT_STARTED)
    }
}
