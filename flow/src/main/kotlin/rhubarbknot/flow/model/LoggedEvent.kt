package rhubarbknot.flow.model

/** A kind of event in the event log. Log and metrics show its [name] in lower case. */
interface LoggedEvent {
    val name: String
    val volume: EventVolume
}

/** How many lines an event causes, which decides what the event log drops under load. */
enum class EventVolume {
    /** Rare by design and needed to tell who believed what of a run. Not crowded out by plentiful lines. */
    KEY,

    /** Grows with the number of jobs and requests. */
    PLENTIFUL,
}
