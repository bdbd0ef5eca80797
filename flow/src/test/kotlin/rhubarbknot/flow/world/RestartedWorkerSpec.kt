package rhubarbknot.flow.world

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import rhubarbknot.flow.dispatch.WorkerCall
import rhubarbknot.flow.world.SingleRunTestBed.Fate
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isTrue

@DisplayName("a task runs once although its worker restarts under the same id")
class RestartedWorkerSpec {
    private val bed = SingleRunTestBed()

    private fun isStart(call: WorkerCall) = call is WorkerCall.Start && call.worker.id == "w1"

    @Nested
    @DisplayName("when a start without an answer is executed seconds later")
    inner class LateStarts {
        /** Starts a task on w1, which gets the first copy of the start late and confirms the second one; w2 could take the task too. */
        private fun startWithLateCopy(stalls: Boolean): SimulatedWorker {
            val worker = bed.addWorker("w1", stalls)
            bed.advance(1_000)
            bed.fateOf = { if (isStart(it) && bed.heldCount() == 0) Fate.HELD else Fate.ANSWERED }
            bed.submit("job-1")
            bed.advance(1_000)
            bed.addWorker("w2", stalls)
            bed.advance(1_000)
            expectThat(bed.isRunning("job-1")).isTrue()
            return worker
        }

        // The worker restarted, its run was taken for lost without a stop, and the late copy started beside the next run.
        @Test
        fun `while the task runs elsewhere`() {
            val worker = startWithLateCopy(stalls = true)
            bed.restart(worker)
            worker.isDraining = true
            bed.advance(2_000)
            bed.deliverHeld()
            expectThat(bed.violations).isEmpty()
        }

        // The end of the run was acknowledged to the earlier incarnation, and the late copy started it again on the next one.
        @Test
        fun `after the run was done and acknowledged`() {
            val worker = startWithLateCopy(stalls = false)
            bed.restart(worker)
            bed.advance(2_000)
            bed.deliverHeld()
            expectThat(bed.violations).isEmpty()
        }

        // The next incarnation had not seen the fencing token of the new leader, which had started the task elsewhere.
        @Test
        fun `after a new leader has started the task elsewhere`() {
            val worker = bed.addWorker("w1", stalls = true)
            bed.advance(1_000)
            bed.fateOf = { if (isStart(it)) Fate.HELD else Fate.ANSWERED }
            bed.submit("job-1")
            bed.advance(100)
            expectThat(bed.heldCount()).isGreaterThan(0)
            bed.changeLeader()
            worker.isDraining = true
            bed.addWorker("w2", stalls = true)
            bed.fateOf = { Fate.ANSWERED }
            bed.advance(2_000)
            expectThat(bed.isRunning("job-1")).isTrue()
            bed.restart(worker)
            worker.isDraining = true
            bed.advance(2_000)
            bed.deliverHeld()
            expectThat(bed.violations).isEmpty()
        }
    }

    // A repeated start gave the restarted worker a lease by the clock of its predecessor; the leader waited for a shorter one.
    @Test
    fun `when a start was repeated until the worker had restarted, and then it can not be reached`() {
        val worker = bed.addWorker("w1", stalls = true)
        bed.advance(20_000)
        bed.fateOf = { if (it.worker.id == "w1") Fate.LOST else Fate.ANSWERED }
        bed.setSilent(worker, true)
        bed.submit("job-1")
        bed.advance(2_000)
        bed.restart(worker)
        bed.fateOf = {
            if (isStart(it)) {
                Fate.ANSWER_LOST
            } else if (it.worker.id == "w1") {
                Fate.LOST
            } else {
                Fate.ANSWERED
            }
        }
        bed.advance(700)
        expectThat(bed.isRunning("job-1")).isFalse()
        bed.fateOf = { if (it.worker.id == "w1") Fate.LOST else Fate.ANSWERED }
        bed.addWorker("w2", stalls = true)
        bed.advance(12_000)
        expectThat(bed.violations).isEmpty()
    }

    // A renewal for the earlier incarnation gave the restarted worker a lease by the clock of its predecessor.
    @Test
    fun `when the next incarnation executes a renewal for the earlier one and can not be reached soon after`() {
        val worker = bed.addWorker("w1", stalls = true)
        bed.advance(20_000)
        bed.submit("job-1")
        bed.advance(1_000)
        bed.fateOf = { Fate.LOST }
        bed.setSilent(worker, true)
        bed.advance(1_000)
        bed.restart(worker)
        bed.fateOf = { Fate.ANSWERED }
        bed.advance(700)
        bed.setSilent(worker, false)
        bed.submit("job-2")
        bed.advance(600)
        expectThat(bed.isRunning("job-2")).isTrue()
        bed.fateOf = { if (it.worker.id == "w1") Fate.LOST else Fate.ANSWERED }
        bed.setSilent(worker, true)
        bed.addWorker("w2", stalls = true)
        bed.advance(12_000)
        expectThat(bed.violations).isEmpty()
    }

    // A renewal acknowledged ends of the earlier incarnation; executed late, it discarded an end of the next one that was never seen.
    @Test
    fun `when a late renewal with the acknowledgement of the earlier incarnation is executed`() {
        val worker = bed.addWorker("w1")
        bed.advance(1_000)
        bed.fateOf = { if (it is WorkerCall.Renew && it.lastSeen > 0 && bed.heldCount() == 0) Fate.HELD else Fate.ANSWERED }
        bed.submit("job-1")
        bed.advance(2_000)
        expectThat(bed.heldCount()).isGreaterThan(0)
        bed.restart(worker)
        bed.advance(2_000)
        bed.fateOf = { if (it is WorkerCall.Renew) Fate.LOST else Fate.ANSWERED }
        bed.submit("job-2")
        bed.advance(1_200)
        bed.deliverHeld()
        bed.fateOf = { Fate.ANSWERED }
        bed.advance(3_000)
        expectThat(bed.violations).isEmpty()
    }
}
