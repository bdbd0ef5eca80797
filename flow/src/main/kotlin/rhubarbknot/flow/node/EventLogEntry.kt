package rhubarbknot.flow.node

/**
 * One line of the event log.
 *
 * @property subject id of the job, task, worker or peer that the event concerns.
 * @property detail values behind the decision, as `name=value` pairs.
 * @property durationMillis duration of the logged operation, for latency histograms; null when it is not measured.
 */
data class EventLogEntry(
    val event: String,
    val subject: String,
    val detail: String = "",
    val durationMillis: Long? = null,
)

/** Events of a process itself; events between the leader and the workers are in `DispatchEvent`. */
enum class NodeLogEvent {
    STARTED,
    STOPPING,
    STOPPED,
    FAILED,
    SETTINGS_RELOADED,
    SETTINGS_REFUSED,
    PEER_CONNECTED,
    PEER_LOST,
    LEADER_CHANGED,
    LEADING,
    MEMBERS_PROPOSED,
    DISK_FAILED,
    DISK_REGAINED,
    ELIGIBILITY_FAILED,
    JOB_ACCEPTED,
    JOB_REFUSED,
    JOB_CANCELLED,
    CONFIGURATION_APPLIED,
    CONFIGURATION_REFUSED,
    ZONE_CHANGED,
    REQUEST_REFUSED,
    REQUEST_UNKNOWN,
    REQUEST_ABANDONED,
    CALL_FAILED,
    LINES_DROPPED,
}
