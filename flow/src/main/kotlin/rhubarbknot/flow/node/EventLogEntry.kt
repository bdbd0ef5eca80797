package rhubarbknot.flow.node

/**
 * One line of the decision log.
 *
 * @property subject id of the job, task, worker or peer that it is about.
 * @property detail what decided, as `name=value` pairs.
 * @property durationMillis how long what is told took, for latency histograms; null where nothing is measured.
 */
data class EventLogEntry(
    val event: String,
    val subject: String,
    val detail: String = "",
    val durationMillis: Long? = null,
)

/** Events of a process itself; those of the leader's dealings with workers are in `DispatchEvent`. */
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
    CALL_FAILED,
    LINES_DROPPED,
}
