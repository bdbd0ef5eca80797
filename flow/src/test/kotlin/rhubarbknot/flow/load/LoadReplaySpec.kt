package rhubarbknot.flow.load

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

/**
 * Guards the order of work when the cell is full: a third or more of the demand does not fit, urgent jobs must still start
 * soon, and everything accepted must still come to an end.
 */
@DisplayName("the dispatcher under a replayed load of 260 workers")
class LoadReplaySpec {
    private val calm = LoadPattern("calm", workers = 260, durationMillis = 10_000)
    private val shortage =
        calm.copy(
            name = "shortage",
            rateChanges = listOf(RateChange("gangs", 4.0, 2_000, 8_000), RateChange("urgent", 3.0, 2_000, 8_000)),
        )

    private fun check(pattern: LoadPattern) {
        val report = LoadReplay(pattern, SEED).run()
        println("LOAD ${pattern.name} $report")
        expectThat(report.urgentStartP99Millis).isLessThanOrEqualTo(URGENT_START_MILLIS)
        expectThat(report.unfinished).isEqualTo(0)
    }

    @Test
    fun `starts urgent jobs in time and ends all jobs when the load is usual`() = check(calm)

    @Test
    fun `starts urgent jobs in time and ends all jobs when large and urgent jobs come at once`() = check(shortage)

    /** Ties that are broken by the order of hash codes differ between two runs of one program. */
    @Test
    fun `decides the same for the same load`() {
        val small = shortage.copy(workers = 60)
        val reports = List(2) { LoadReplay(small, SEED).run().copy(microsPerDispatch = 0) }
        expectThat(reports[1]).isEqualTo(reports[0])
    }

    private companion object {
        const val SEED = 20261204L

        /** Urgent work starts within 3.1 s. */
        const val URGENT_START_MILLIS = 3_100L
    }
}
