package rhubarbknot.flow.dispatch

/**
 * Times of the leader's dealings with workers.
 *
 * @property leaseMillis how long a worker may run what it has without a renewal. Long enough to ride through a cut of
 * a zone, short enough that work lost with a worker is soon started elsewhere.
 * @property renewWaitMillis how long a renewal waits at the worker for the end of a run.
 * @property callTimeoutMillis silence after which a call's outcome is taken as unknown.
 * @property slowClockPerMille how much slower than this host's clock a worker's may run.
 * @property reportTimeoutMillis silence after which nothing is started on a worker.
 * @property forgetMillis silence after which an idle worker is forgotten.
 * @property departureMillis time between a worker's farewell and the moment when it surely runs nothing.
 * @property stopMillis longest time that a stop takes on a worker.
 */
data class DispatchSettings(
    val leaseMillis: Long = 6_000,
    val renewWaitMillis: Long = 1_000,
    val callTimeoutMillis: Long = 800,
    val retryMillis: Long = 200,
    val slowClockPerMille: Long = 20,
    val reportTimeoutMillis: Long = 5_000,
    val forgetMillis: Long = 20_000,
    val departureMillis: Long = 1_000,
    val stopMillis: Long = 900,
    val distrustMillis: Long = 4_000,
)
