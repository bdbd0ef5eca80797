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
 * @property distrustMillis how long a worker that fails what it starts gets nothing new.
 * @property stallMillis how long a run may stand still before its worker is distrusted.
 * @property slowDistrustMillis how long a worker that is slow or stands still gets nothing new after each such reading.
 * @property redoMillis a run that stands still is started anew elsewhere when that takes at most this long.
 */
data class DispatchSettings(
    val leaseMillis: Long = 6_000,
    val renewWaitMillis: Long = 1_000,
    val callTimeoutMillis: Long = 500,
    val retryMillis: Long = 200,
    val slowClockPerMille: Long = 20,
    val reportTimeoutMillis: Long = 5_000,
    val forgetMillis: Long = 20_000,
    val departureMillis: Long = 1_000,
    val stopMillis: Long = 900,
    val distrustMillis: Long = 4_000,
    val stallMillis: Long = 1_500,
    val slowDistrustMillis: Long = 1_500,
    val redoMillis: Long = 3_000,
)
