package rhubarbknot.core

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import rhubarbknot.core.cell.AttemptReport
import rhubarbknot.core.cell.AttemptState
import rhubarbknot.core.cell.CellCommand
import rhubarbknot.core.cell.CellEffect
import rhubarbknot.core.cell.ExecutorInfo
import rhubarbknot.core.cell.ExecutorKind
import rhubarbknot.core.cell.ExecutorStatus
import rhubarbknot.core.cell.StopMode
import rhubarbknot.core.model.ExecutorId
import rhubarbknot.core.model.JobId
import rhubarbknot.core.model.JobSpec
import rhubarbknot.core.model.Outcome
import rhubarbknot.core.model.RefusalReason
import rhubarbknot.core.model.RequestId
import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.model.WaitReason
import rhubarbknot.core.model.WorkKind
import rhubarbknot.core.model.ZoneId
import rhubarbknot.core.registry.CellRow
import rhubarbknot.core.registry.ZoneOffer
import rhubarbknot.core.registry.ZoneView
import rhubarbknot.core.table.TeamRow
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

@DisplayName("a cell")
class CellSpec : CellFixture() {
    @Nested
    @DisplayName("reports the outcome of a job")
    inner class Outcomes {
        @Test
        fun `a job that had started before it was cancelled is not reported as not run`() {
            configure()
            worker()
            submit("a", batch(4))
            apply(CellCommand.ExecutorLost(ExecutorId("w"), "1"))
            apply(CellCommand.Cancel(RequestId("c"), listOf(JobId(crew, "a"))))
            expectThat(outcome("a")).isA<Outcome.Ran>().get { success }.isEqualTo(false)
        }

        @Test
        fun `a job that was cancelled before any start is reported as not run`() {
            configure()
            submit("a", batch(4))
            apply(CellCommand.Cancel(RequestId("c"), listOf(JobId(crew, "a"))))
            expectThat(outcome("a")).isA<Outcome.NotRun>().get { reason }.isEqualTo(RefusalReason.CANCELLED)
        }

        @Test
        fun `the outcome of a job that is not idempotent is unknown when its executor is lost, until that executor reports`() {
            configure()
            worker()
            submit("a", batch(4, idempotent = false))
            val start = started("a").single()
            apply(CellCommand.ExecutorLost(ExecutorId("w"), "1"))
            expectThat(outcome("a")).isA<Outcome.Unknown>()
            worker("w2")
            expectThat(started("a").size).isEqualTo(1)
            val report = AttemptReport(start.attempt, AttemptState.COMPLETED, "done")
            apply(
                CellCommand.Join(
                    ExecutorInfo(ExecutorId("w"), "1", ExecutorKind.WORKER, Resources(8_000, 8_000), session = 2),
                    listOf(report),
                ),
            )
            expectThat(outcome("a")).isEqualTo(Outcome.Ran(true, "done"))
        }

        @Test
        fun `a job whose start never reached its executor is reported as not run`() {
            configure()
            worker()
            submit("a", batch(4, idempotent = false))
            apply(CellCommand.ExecutorLost(ExecutorId("w"), "1"))
            apply(CellCommand.Join(ExecutorInfo(ExecutorId("w"), "1", ExecutorKind.WORKER, Resources(8_000, 8_000), session = 2)))
            expectThat(outcome("a")).isA<Outcome.NotRun>()
        }
    }

    @Nested
    @DisplayName("with a task whose executors end while it runs")
    inner class CrashLoops {
        private fun restart(
            incarnation: Int,
            afterMillis: Long,
        ) {
            tick(afterMillis)
            val info = ExecutorInfo(ExecutorId("w"), "$incarnation", ExecutorKind.WORKER, Resources(8_000, 8_000), session = 1)
            apply(CellCommand.Join(info))
        }

        @Test
        fun `gives it up after some executors have ended shortly after its start`() {
            configure()
            worker()
            submit("a", batch(4))
            repeat(12) { restart(incarnation = it + 2, afterMillis = 3_000) }
            expectThat(started("a").size).isEqualTo(5)
            expectThat(outcome("a")).isA<Outcome.Ran>().get { success }.isEqualTo(false)
        }

        @Test
        fun `keeps a task that runs for long between the restarts of its executors`() {
            configure()
            worker()
            submit("a", batch(4))
            repeat(12) { restart(incarnation = it + 2, afterMillis = 120_000) }
            expectThat(started("a").size).isEqualTo(13)
            expectThat(outcome("a")).isNull()
        }

        @Test
        fun `keeps a task whose executors leave`() {
            configure()
            worker()
            submit("a", batch(4))
            repeat(12) {
                apply(CellCommand.Leave(ExecutorId("w")))
                restart(incarnation = it + 2, afterMillis = 3_000)
            }
            expectThat(started("a").size).isEqualTo(13)
        }
    }

    @Nested
    @DisplayName("with jobs that fit on no executor")
    inner class Unplaceable {
        @Test
        fun `refuses them at submission and says what would fit`() {
            configure()
            worker(cpus = 8)
            val refused = submit("a", batch(9)).filterIsInstance<CellEffect.Refused>().single()
            expectThat(refused.reason).isEqualTo(RefusalReason.NEVER_FITS)
            expectThat(refused.detail).contains("9 processors, at most 8 would fit")
        }

        @Test
        fun `refuses a gang that is larger than the empty zone`() {
            configure()
            worker(cpus = 8)
            val refused = submit("a", batch(5, tasks = 2, gang = true)).filterIsInstance<CellEffect.Refused>().single()
            expectThat(refused.detail).contains("room for 1")
        }

        @Test
        fun `refuses them a minute after the last fitting worker was lost`() {
            configure()
            worker("big", cpus = 16)
            submit("hold", batch(16))
            submit("a", batch(12))
            apply(CellCommand.ExecutorLost(ExecutorId("big"), "1"))
            worker("small", cpus = 8)
            tick(1_000)
            expectThat(cell.status(JobId(crew, "a"))).isNotNull().get { outcome }.isNull()
            tick(61_000)
            expectThat(outcome("a")).isA<Outcome.NotRun>().get { reason }.isEqualTo(RefusalReason.NEVER_FITS)
        }

        @Test
        fun `hands them over to a zone where they fit`() {
            configure(others = listOf(ZoneOffer(ZoneId("jemmal"), worker = Resources(64_000, 64_000))))
            worker(cpus = 8)
            submit("a", batch(32))
            val moved = tick(1_000).filterIsInstance<CellEffect.MoveOut>() + tick(1_000).filterIsInstance<CellEffect.MoveOut>()
            expectThat(moved.first().zone).isEqualTo(ZoneId("jemmal"))
        }
    }

    @Nested
    @DisplayName("when full")
    inner class Full {
        @Test
        fun `starts urgent work as soon as batch work has checkpointed`() {
            configure()
            worker()
            submit("bulk", batch(2, tasks = 4), mill)
            submit("urgent", batch(2, urgent = true, idempotent = false))
            val stop = stops.single()
            expectThat(stop.mode).isEqualTo(StopMode.CHECKPOINT)
            apply(CellCommand.Ended(stop.executor, AttemptReport(stop.attempt, AttemptState.CHECKPOINTED)))
            expectThat(started("urgent").size).isEqualTo(1)
        }

        @Test
        fun `kills a task that does not checkpoint in time`() {
            configure()
            worker()
            submit("bulk", batch(8), mill)
            submit("urgent", batch(8, urgent = true))
            tick(1_500)
            expectThat(stops.last().mode).isEqualTo(StopMode.KILL)
        }

        @Test
        fun `reserves capacity for a large task, so that many small ones do not starve it`() {
            configure()
            worker()
            repeat(8) { submit("small-$it", batch(1), mill) }
            submit("large", batch(8))
            repeat(100) { submit("flood-$it", batch(1), mill) }
            tick(2_500)
            starts.take(8).toList().forEach { end(it) }
            expectThat(started("large").size).isEqualTo(1)
        }

        @Test
        fun `starts a gang once enough capacity has been freed`() {
            configure()
            worker("w1")
            worker("w2")
            submit("a", batch(8), mill)
            submit("b", batch(4), mill)
            submit("gang", batch(4, tasks = 3, gang = true))
            expectThat(started("gang")).isEmpty()
            end(started("a").single())
            tick(200)
            expectThat(started("gang").size).isEqualTo(3)
        }

        @Test
        fun `starts nothing on a lost executor that is still in the history of freed executors`() {
            configure()
            endpoint("old")
            submit("a", JobSpec(WorkKind.CALL))
            submit("b", JobSpec(WorkKind.CALL))
            apply(CellCommand.ExecutorLost(ExecutorId("old"), "1"))
            endpoint("new")
            expectThat(starts.drop(1).map { it.executor.name }.toSet()).isEqualTo(setOf("new"))
        }
    }

    @Nested
    @DisplayName("under its limits")
    inner class Limited {
        @Test
        fun `never runs more than the team's limit in this zone`() {
            configure(crewLimit = 2)
            worker()
            submit("a", batch(1, tasks = 5))
            expectThat(starts.size).isEqualTo(2)
            expectThat(cell.status(JobId(crew, "a"))).isNotNull()
            now += 500
            apply(CellCommand.Tick)
            expectThat(cell.status(JobId(crew, "a"))!!.waits.map { it.reason }).contains(WaitReason.TEAM_AT_CEILING)
        }

        @Test
        fun `reports no demand for jobs that no executor here can run`() {
            configure(crewLimit = 2)
            submit("a", batch(1, tasks = 5))
            expectThat(cell.loads().single { it.team == crew }.demand).isEqualTo(0)
            worker()
            expectThat(cell.loads().single { it.team == crew }.demand).isEqualTo(5)
        }

        @Test
        fun `starts nothing of a team that exceeds its ceiling over all zones, and holds only what runs`() {
            configure(crewLimit = 2)
            worker()
            submit("a", batch(1))
            val row = CellRow(TeamRow(crew, 1, 2), limit = 2, overCeiling = true)
            apply(CellCommand.Configure(ZoneView(version++, ZoneId("kalaa"), true, listOf(row))))
            submit("b", batch(1))
            expectThat(started("b")).isEmpty()
            expectThat(cell.held(crew)).isEqualTo(1)
            configure(crewLimit = 2)
            expectThat(started("b").size).isEqualTo(1)
        }

        @Test
        fun `checkpoints the newest batch tasks first when a limit is lowered below the running tasks`() {
            configure()
            worker()
            submit("service", JobSpec(WorkKind.SERVICE, need = Resources(1_000, 100)))
            submit("old", batch(1))
            now += 100
            submit("new", batch(1))
            submit("once", batch(1, idempotent = false))
            configure(crewLimit = 3)
            expectThat(stops.map { it.attempt.job.local }).isEqualTo(listOf("new"))
        }

        @Test
        fun `refuses a job at submission when the queue is full`() {
            configure(crewLimit = 0)
            val row = cell.state.teams.getValue(crew)
            row.row = row.row?.copy(queueLimit = 2)
            submit("a", batch(1))
            submit("b", batch(1))
            val refused = submit("c", batch(1)).filterIsInstance<CellEffect.Refused>().single()
            expectThat(refused.reason).isEqualTo(RefusalReason.QUEUE_FULL)
        }

        @Test
        fun `delays retries once the team's retry budget is used up`() {
            configure(retriesPerMinute = 1)
            worker()
            submit("a", batch(1))
            submit("b", batch(1))
            starts.toList().forEach { end(it, AttemptState.FAILED, "boom") }
            tick(1_000)
            expectThat(starts.size).isEqualTo(3)
            expectThat(cell.status(JobId(crew, "b"))!!.waits.map { it.reason }).contains(WaitReason.RETRY_BUDGET_USED)
        }
    }

    @Nested
    @DisplayName("with failures")
    inner class Failing {
        @Test
        fun `quarantines a worker on which many jobs fail, and puts it on probation later`() {
            configure()
            worker("bad")
            worker("good")
            repeat(6) { submit("j$it", batch(1, idempotent = false)) }
            repeat(6) { submit("k$it", batch(1, idempotent = false)) }
            starts.filter { it.executor.name == "bad" }.forEach { end(it, AttemptState.FAILED, "broken") }
            expectThat(status("bad")).isEqualTo(ExecutorStatus.QUARANTINED)
            tick(61_000)
            expectThat(status("bad")).isEqualTo(ExecutorStatus.PROBATION)
        }

        private fun status(name: String) =
            cell.state.executors
                .getValue(ExecutorId(name))
                .status

        @Test
        fun `fails a job that failed on many workers, and quarantines none of them`() {
            configure()
            repeat(4) { worker("w$it", cpus = 1) }
            submit("bad", batch(1))
            repeat(3) {
                started("bad").lastOrNull()?.let { start -> end(start, AttemptState.FAILED, "boom") }
                tick(5_000)
            }
            expectThat(outcome("bad")).isA<Outcome.Ran>().get { success }.isEqualTo(false)
            expectThat(
                cell.state.executors.values
                    .map { it.status }
                    .toSet(),
            ).isEqualTo(setOf(ExecutorStatus.ACTIVE))
        }

        @Test
        fun `throttles a task that uses more than it declared, then kills it and reports that reason`() {
            configure()
            worker()
            submit("a", batch(1))
            val start = started("a").single()
            apply(CellCommand.Usage(start.attempt, Resources(3_000, 100)))
            expectThat(stops.single().mode).isEqualTo(StopMode.THROTTLE)
            tick(3_000)
            expectThat(stops.last().mode).isEqualTo(StopMode.KILL)
            end(start, AttemptState.KILLED)
            expectThat(outcome("a")).isA<Outcome.Ran>().get { answer }.contains("more than it had declared")
        }
    }

    @Nested
    @DisplayName("in a zone that is taken out of service")
    inner class OutOfService {
        private val jemmal = ZoneOffer(ZoneId("jemmal"), Resources(64_000, 64_000), Resources(slots = 8))

        @Test
        fun `checkpoints batch tasks and hands them over to another zone`() {
            configure(others = listOf(jemmal))
            worker()
            submit("a", batch(1))
            configure(inService = false, others = listOf(jemmal))
            expectThat(stops.single().mode).isEqualTo(StopMode.CHECKPOINT)
            end(started("a").single(), AttemptState.CHECKPOINTED)
            val move = (tick(1_000) + tick(1_000)).filterIsInstance<CellEffect.MoveOut>().first()
            expectThat(move.transfer.id).isEqualTo(JobId(crew, "a"))
            expectThat(starts.size).isEqualTo(1)
        }

        @Test
        fun `stops a service only once its replacement has started`() {
            configure(others = listOf(jemmal))
            worker()
            submit("s", JobSpec(WorkKind.SERVICE, tasks = 2, need = Resources(1_000, 100)))
            configure(inService = false, others = listOf(jemmal))
            val move = tick(1_000).filterIsInstance<CellEffect.MoveOut>().single()
            expectThat(move.transfer.nextTask).isEqualTo(2)
            expectThat(move.transfer.spec.tasks).isEqualTo(4)
            apply(CellCommand.Moved(JobId(crew, "s"), ZoneId("jemmal"), up = false))
            expectThat(stops).isEmpty()
            apply(CellCommand.Moved(JobId(crew, "s"), ZoneId("jemmal"), up = true))
            expectThat(stops.size).isEqualTo(2)
        }
    }

    @Test
    fun `applies a partial configuration with the same result as the whole one`() {
        configure(crewLimit = 5, millLimit = 7)
        val before = cell.rowsInForce()
        val rows = listOf(CellRow(TeamRow(crew, 2, 50), 9), CellRow(TeamRow(TeamId("new"), 1, 5), 5))
        val whole = ZoneView(version++, ZoneId("kalaa"), true, rows)
        val difference = whole.diffAgainst(before)
        expectThat(difference.rows.size).isEqualTo(2)
        expectThat(difference.removed).isEqualTo(listOf(mill))
        apply(CellCommand.Configure(difference))
        expectThat(cell.rowsInForce()).isEqualTo(rows.associateBy { it.row.team })
        expectThat(whole.copy(version = version).diffAgainst(cell.rowsInForce()).rows).isEmpty()
    }

    @Test
    fun `records wait reasons whose intervals add up to the whole wait`() {
        configure(crewLimit = 0)
        worker()
        submit("a", batch(1))
        now += 700
        apply(CellCommand.Hold(true))
        now += 300
        configure(crewLimit = 1)
        apply(CellCommand.Hold(false))
        val waits = cell.status(JobId(crew, "a"))!!.waits
        expectThat(waits.sumOf { it.millis }).isEqualTo(1_000)
        expectThat(waits.map { it.reason }).isEqualTo(listOf(WaitReason.TEAM_AT_CEILING, WaitReason.ZONE_CUT_OFF))
    }
}
