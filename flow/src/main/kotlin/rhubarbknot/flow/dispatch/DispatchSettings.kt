package rhubarbknot.flow.dispatch

/**
 * Timeouts and intervals of the communication between the leader and the workers.
 *
 * @property leaseMillis how long a worker may keep running its tasks without a renewal. Long enough to survive a
 * network partition of an availability zone, short enough that the work of a lost worker is soon restarted elsewhere.
 * @property drainingLeaseMillis the same for a draining worker, since its end is known only by the expiry of its lease.
 * @property longestLeaseMillis longest lease that a worker grants, whatever the deadline of a call says.
 * @property renewWaitMillis how long the worker may hold a renewal open while it waits for a run to end.
 * @property callTimeoutMillis time without a response after which the outcome of a call is treated as unknown.
 * @property retryMillis delay before a call is retried.
 * @property slowClockPerMille maximum rate by which a worker's clock may run slower than this host's clock.
 * @property reportTimeoutMillis time without a report after which nothing is started on a worker.
 * @property forgetMillis time without a report after which the record of an idle worker is removed.
 * @property departureMillis time after a leave message from which on a worker that answers counts as one that stays.
 * @property lateCallMillis how long after its sending a call without a response may still be executed.
 * @property stopMillis maximum time that a worker takes to stop a run.
 * @property distrustMillis how long a worker whose runs fail gets no new runs; below the time for which a job may stand still.
 * @property stallMillis minimum time without progress after which a run counts as stalled and its worker is distrusted.
 * @property slowDistrustMillis how long a slow or stalled worker gets no new runs after each such observation.
 * @property startSurvivalMillis how long a worker must have run since the start of a run to show that the start did not crash it.
 * @property maxRerunMillis a stalled run without checkpoints is restarted elsewhere if its expected duration is at
 * most this long.
 * @property ordersByDelayCost whether the waiting work of an oversubscribed pool that is too full is ordered by what its delay costs.
 */
data class DispatchSettings(
    val leaseMillis: Long = 6_000,
    val drainingLeaseMillis: Long = 3_000,
    val longestLeaseMillis: Long = 10_000,
    val renewWaitMillis: Long = 1_000,
    val callTimeoutMillis: Long = 500,
    val retryMillis: Long = 200,
    val slowClockPerMille: Long = 20,
    val reportTimeoutMillis: Long = 5_000,
    val forgetMillis: Long = 20_000,
    val departureMillis: Long = 1_000,
    val lateCallMillis: Long = 12_500,
    val stopMillis: Long = 900,
    val distrustMillis: Long = 2_000,
    val stallMillis: Long = 1_500,
    val slowDistrustMillis: Long = 1_500,
    val startSurvivalMillis: Long = 250,
    val maxRerunMillis: Long = 3_000,
    val ordersByDelayCost: Boolean = true,
)
