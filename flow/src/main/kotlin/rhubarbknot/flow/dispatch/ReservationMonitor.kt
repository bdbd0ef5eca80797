package rhubarbknot.flow.dispatch

/** Logs for which gang each pool reserves room, whenever that changes from one [PlanningPass] to the next. */
internal class ReservationMonitor(
    private val effects: EffectBuffer,
) {
    private val holders = HashMap<String, GangReservation>()

    /** Compares the reservations of [pass], which has just ended at [now], with those of the pass before. */
    fun passEnded(
        pass: PlanningPass,
        now: Long,
    ) {
        val current = HashMap<String, GangReservation>()
        pass.reservationsByPool.forEach { (pool, reservations) ->
            reservations.first?.takeIf { it.isLogged }?.let { current[pool.orEmpty()] = it }
        }
        (holders.keys + current.keys).sorted().forEach { logChange(it, holders[it], current[it], now) }
        holders.clear()
        holders.putAll(current)
    }

    private fun logChange(
        pool: String,
        before: GangReservation?,
        after: GangReservation?,
        now: Long,
    ) {
        if (before?.step == after?.step) return
        if (before != null) {
            val successor = after?.step ?: "none"
            effects.logEvent(DispatchEvent.RESERVATION_DROPPED, before.step.toString(), "pool=$pool next=$successor")
        }
        if (after != null) {
            val detail = "pool=$pool cpu=${after.milliCpus} workers=${after.workers} expected=${after.startsAt - now}ms"
            effects.logEvent(DispatchEvent.RESERVATION_MADE, after.step.toString(), detail)
        }
    }
}
