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

@DisplayName("what a cell learns of a team's work")
class EstimateSpec : CellFixture() {
    private fun teach(
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
        fun `starts shorter work of a team first, whatever it declares`() {
            table()
            worker()
            teach("plans", 50_000)
            teach("reloads", 1_000)
            submit("busy", batch(8))
            submit("plan", batch(8, declaredMillis = 10_000), queue = "plans")
            now += 1_000
            submit("reload", batch(8, declaredMillis = 10_000), queue = "reloads")
            end(starts.last())
            expectThat(ids().last()).isEqualTo("reload")
        }

        @Test
        fun `lets long work be overtaken for a minute and no longer`() {
            table()
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
        fun `keeps the order of arrival for a team whose row says so, also for what waited when the row changed`() {
            table(overtakeSeconds = 0)
            worker()
            submit("busy", batch(8))
            submit("plan", batch(8, declaredMillis = 50_000))
            submit("reload", batch(8, declaredMillis = 100))
            table(overtakeSeconds = 60)
            submit("late", batch(8, declaredMillis = 100))
            repeat(3) { end(starts.last()) }
            expectThat(ids()).isEqualTo(listOf("busy", "plan", "reload", "late"))
        }

        @Test
        fun `leaves urgent work in the order of its arrival`() {
            table()
            worker()
            submit("busy", batch(8, urgent = true))
            submit("first", batch(8, urgent = true, declaredMillis = 60_000))
            submit("second", batch(8, urgent = true, declaredMillis = 10))
            repeat(2) { end(starts.last()) }
            expectThat(ids()).isEqualTo(listOf("busy", "first", "second"))
        }

        @Test
        fun `gathers tasks that end late on one worker`() {
            table()
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
        fun `keeps its order over a restart from a snapshot`() {
            table()
            worker()
            submit("busy", batch(8))
            submit("plan", batch(8, declaredMillis = 30_000))
            submit("reload", batch(8, declaredMillis = 100))
            val again = Cell()
            again.restore(cell.snapshot())
            val order = again.snapshot()
            expectThat(order.contentEquals(cell.snapshot())).isEqualTo(true)
            end(starts.last())
            expectThat(ids().last()).isEqualTo("reload")
        }
    }

    @Nested
    @DisplayName("of sizes")
    inner class Sizes {
        @Test
        fun `tells how much of what they declare the tasks of a queue use, and keeps that over a restart`() {
            table()
            worker()
            submit("a", batch(8))
            repeat(19) { apply(CellCommand.Usage(starts.single().attempt, Resources(milliCpus = 2_000, memoryMb = 10))) }
            expectThat(cell.usedPercent(crew)).isEmpty()
            apply(CellCommand.Usage(starts.single().attempt, Resources(milliCpus = 2_000, memoryMb = 10)))
            expectThat(cell.usedPercent(crew)).isEqualTo(mapOf(QueueId("crew") to 25L))
            val again = Cell()
            again.restore(cell.snapshot())
            expectThat(again.usedPercent(crew)).isEqualTo(mapOf(QueueId("crew") to 25L))
        }
    }

    @Nested
    @DisplayName("of a day")
    inner class Day {
        private fun day() =
            cell.state.teams
                .getValue(crew)
                .day

        @Test
        fun `counts every wait under its reason, in the hour in which it ended`() {
            table()
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
        fun `forgets what is a day old, hour by hour`() {
            table()
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
