package rhubarbknot.core.overload

/**
 * Bounds how long accepted work is passed over: once in a period, the next work in the order of acceptance that has waited too long goes
 * first. It keeps that place until it has its room, at most for [holdMillis], since some work fits nowhere whatever it is offered. So
 * work with n other works that have waited too long goes first after n + 1 times the longer of [periodMillis] and [holdMillis].
 *
 * @param limitMillis time that work may be passed over before it counts.
 * @param periodMillis time between two works that go first for their age, so that they get only a part of the room.
 * @param holdMillis longest time that work goes first without getting its room.
 */
class AgingGuard(
    private val limitMillis: Long,
    private val periodMillis: Long,
    private val holdMillis: Long,
) {
    private var current: Long? = null
    private var chosenAt = 0L
    private var lastChosen = Long.MIN_VALUE
    private var isDue = true

    /** Begins a pass over the waiting work at [now]; [isWaiting] tells whether the work with a sequence number still waits for room. */
    fun beginPass(
        now: Long,
        isWaiting: (sequence: Long) -> Boolean,
    ) {
        // In the pass before, nothing after the last one had waited too long: from the start again.
        if (isDue) lastChosen = Long.MIN_VALUE
        current = current?.takeIf { isWaiting(it) && now < chosenAt + holdMillis }
        isDue = current == null && (lastChosen == Long.MIN_VALUE || now >= chosenAt + periodMillis)
    }

    /**
     * Whether the work with [sequence], its number in the order of acceptance, which waits since [waitingSince], goes first at [now].
     * Called for all waiting work of the pass, in the order of acceptance.
     */
    fun goesFirst(
        sequence: Long,
        waitingSince: Long,
        now: Long,
    ): Boolean {
        if (sequence == current) return true
        if (!isDue || sequence <= lastChosen || now - waitingSince < limitMillis) return false
        isDue = false
        current = sequence
        lastChosen = sequence
        chosenAt = now
        return true
    }
}
