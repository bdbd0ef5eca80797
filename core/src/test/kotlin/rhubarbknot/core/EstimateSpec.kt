package rhubarbknot.core

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import rhubarbknot.core.cell.Cell
import rhubarbknot.core.cell.CellCommand
import rhubarbknot.core.cell.TeamDailyStats
import rhubarbknot.core.model.QueueId
import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.WaitReason
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo

@DisplayName("estimates and statistics of a team's jobs")
class EstimateSpec : CellFixture() {
    private fun recordRunTimes(
        queue: String,
        millis: Long,
    ) = repeat(20) {
        submit("$queue-$it", batch(8, declaredMillis = 10_000), queue = queue)
        now += millis
        end(starts.last())
    }

    private fun ids() = starts.map { it.attempt.job.local }

    @Nested
    @DisplayName("of run times")
    inner class RunTimes {
        @Test
        fun `starts a team's shorter jobs first by recorded run times, whatever the declared ones`() {
            configure()
            worker()
            recordRunTimes("plans", 50_000)
            recordRunTimes("reloads", 1_000)
            submit("busy", batch(8))
            submit("plan", batch(8, declaredMillis = 10_000), queue = "plans")
            now += 1_000
            submit("reload", batch(8, declaredMillis = 10_000), queue = "reloads")
            end(starts.last())
            expectThat(ids().last()).isEqualTo("reload")
        }

        @Test
        fun `lets shorter jobs overtake a long one for at most a minute`() {
            configure()
            worker()
            submit("busy", batch(8))
            submit("plan", batch(8, declaredMillis = 3_600_000))
            now += 59_000
            submit("early", batch(8, declaredMillis = 100))
            now += 2_000
            submit("late", batch(8, declaredMillis = 100))
            repeat(3) { end(starts.last()) }
            expectThat(ids()).isEqualTo(listOf("busy", "early", "plan", "late"))
        }

        @Test
        fun `keeps the order of arrival for a team without overtaking, also for jobs queued before that changed`() {
            configure(overtakeSeconds = 0)
            worker()
            submit("busy", batch(8))
            submit("plan", batch(8, declaredMillis = 50_000))
            submit("reload", batch(8, declaredMillis = 100))
            configure(overtakeSeconds = 60)
            submit("late", batch(8, declaredMillis = 100))
            repeat(3) { end(starts.last()) }
            expectThat(ids()).isEqualTo(listOf("busy", "plan", "reload", "late"))
        }

        @Test
        fun `keeps urgent jobs in order of arrival`() {
            configure()
            worker()
            submit("busy", batch(8, urgent = true))
            submit("first", batch(8, urgent = true, declaredMillis = 60_000))
            submit("second", batch(8, urgent = true, declaredMillis = 10))
            repeat(2) { end(starts.last()) }
            expectThat(ids()).isEqualTo(listOf("busy", "first", "second"))
        }

        @Test
        fun `places tasks that end late on the same worker`() {
            configure()
            listOf("w1", "w2").forEach { worker(it) }
            submit("long", batch(1, declaredMillis = 600_000))
            submit("filler", batch(7, declaredMillis = 1_000))
            submit("short", batch(1, declaredMillis = 1_000))
            val (long, filler, short) = starts.toList()
            expectThat(short.executor).isNotEqualTo(long.executor)
            end(filler)
            submit("long-2", batch(1, declaredMillis = 500_000))
            expectThat(starts.last().executor).isEqualTo(long.executor)
        }

        @Test
        fun `keeps the queue order when restored from a snapshot`() {
            configure()
            worker()
            submit("busy", batch(8))
            submit("plan", batch(8, declaredMillis = 30_000))
            submit("reload", batch(8, declaredMillis = 100))
            val restored = Cell()
            restored.restore(cell.snapshot())
            val bytes = restored.snapshot()
            expectThat(bytes.contentEquals(cell.snapshot())).isEqualTo(true)
            end(starts.last())
            expectThat(ids().last()).isEqualTo("reload")
        }
    }

    @Nested
    @DisplayName("of resource usage")
    inner class ResourceUsage {
        @Test
        fun `reports which part of the declared resources the tasks of a queue use, also when restored from a snapshot`() {
            configure()
            worker()
            submit("a", batch(8))
            repeat(19) { apply(CellCommand.Usage(starts.single().attempt, Resources(milliCpus = 2_000, memoryMb = 10))) }
            expectThat(cell.usedPercent(crew)).isEmpty()
            apply(CellCommand.Usage(starts.single().attempt, Resources(milliCpus = 2_000, memoryMb = 10)))
            expectThat(cell.usedPercent(crew)).isEqualTo(mapOf(QueueId("crew") to 25L))
            val restored = Cell()
            restored.restore(cell.snapshot())
            expectThat(restored.usedPercent(crew)).isEqualTo(mapOf(QueueId("crew") to 25L))
        }
    }

    @Nested
    @DisplayName("over a day")
    inner class DailyStats {
        private fun day() =
            cell.state.teams
                .getValue(crew)
                .day

        @Test
        fun `counts every wait under its reason, in the hour in which it ended`() {
            configure()
            worker()
            submit("busy", batch(8))
            submit("next", batch(8))
            now += 5_000
            end(starts.last())
            expectThat(day().sum(now).waited).isEqualTo(linkedMapOf(WaitReason.CELL_FULL to 5_000L))
            expectThat(day().sum(now).longestWaitMillis).isEqualTo(5_000L)
            expectThat(day().sum(now).asked).isEqualTo(2L)
        }

        @Test
        fun `drops hourly counters that are a day old`() {
            configure()
            worker()
            submit("first", batch(8))
            end(starts.last())
            now += TeamDailyStats.HOUR_MILLIS
            submit("second", batch(8))
            end(starts.last())
            expectThat(day().hours(now).map { it.totals.ran }).isEqualTo(listOf(1L, 1L))
            now += 23 * TeamDailyStats.HOUR_MILLIS
            submit("third", batch(8))
            end(starts.last())
            expectThat(day().sum(now).ran).isEqualTo(2L)
            expectThat(day().hours(now).size).isEqualTo(2)
        }
    }
}
