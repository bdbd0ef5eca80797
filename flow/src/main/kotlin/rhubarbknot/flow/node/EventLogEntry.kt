package rhubarbknot.flow.node

import rhubarbknot.flow.model.EventVolume
import rhubarbknot.flow.model.LoggedEvent

/**
 * One line of the event log.
 *
 * @property subject id of the job, task, worker or peer that the event concerns.
 * @property detail values behind the decision, as `name=value` pairs.
 * @property durationMillis duration of the logged operation, for latency histograms; null when it is not measured.
 */
data class EventLogEntry(
    val event: LoggedEvent,
    val subject: String,
    val detail: String = "",
    val durationMillis: Long? = null,
)

/** Events of a process itself; events between the leader and the workers are in `DispatchEvent`. */
enum class NodeLogEvent(
    override val volume: EventVolume = EventVolume.KEY,
) : LoggedEvent {
    STARTED,
    STOPPING,
    STOPPED,
    FAILED,
    SETTINGS_RELOADED,
    SETTINGS_REFUSED,
    PEER_CONNECTED,
    PEER_LOST,
    CONTROLS_DIALLED,
    CONTROLS_UNREACHABLE,
    CONTROLS_REGAINED,
    SEEDS_CHANGED,
    LEADER_CHANGED,
    LEADING,
    LEADERSHIP_LOST,
    CLOCK_GAP,
    CLOCK_STEPPED,
    LONG_TURN,
    MEMBERS_PROPOSED,
    DISK_FAILED,
    DISK_REGAINED,
    ELIGIBILITY_FAILED(EventVolume.PLENTIFUL),
    JOB_ACCEPTED(EventVolume.PLENTIFUL),
    JOB_REFUSED(EventVolume.PLENTIFUL),
    JOB_REFUSED_TOO_LATE(EventVolume.PLENTIFUL),
    JOB_REFUSED_NO_MEMORY(EventVolume.PLENTIFUL),
    JOB_REFUSED_REPEATED(EventVolume.PLENTIFUL),
    JOB_CANCELLED(EventVolume.PLENTIFUL),
    CONFIGURATION_APPLIED,
    CONFIGURATION_ACKNOWLEDGED,
    CONFIGURATION_REFUSED(EventVolume.PLENTIFUL),
    CONFIGURATION_READ(EventVolume.PLENTIFUL),
    CONFIGURATION_ANSWERED(EventVolume.PLENTIFUL),
    ZONE_CHANGED,
    REQUEST_REFUSED(EventVolume.PLENTIFUL),
    REQUEST_UNKNOWN(EventVolume.PLENTIFUL),
    REQUEST_ABANDONED(EventVolume.PLENTIFUL),
    STALE_ANSWER,
    CALL_FAILED(EventVolume.PLENTIFUL),
    LINES_DROPPED,
}
