package rhubarbknot.core.cell

import rhubarbknot.core.model.Resources

/** Computes how many tasks fit on an executor, and explains why a task fits on none and what would fit. */
internal object Fit {
    fun explain(
        need: Resources,
        largest: Resources,
    ): String {
        val excess =
            listOfNotNull(
                excess("processors", need.milliCpus / 1000.0, largest.milliCpus / 1000.0),
                excess("MB of memory", need.memoryMb.toDouble(), largest.memoryMb.toDouble()),
                excess("accelerators", need.accelerators.toDouble(), largest.accelerators.toDouble()),
                excess("slots", need.slots.toDouble(), largest.slots.toDouble()),
            )
        if (excess.isEmpty()) return "no single worker has all of what one task asks for at the same time; ask for less of one resource"
        return "one task asks for more than the largest worker has: " + excess.joinToString("; ")
    }

    /** Number of tasks of size [need] that an empty executor with [capacity] can hold. */
    fun taskCapacity(
        capacity: Resources,
        need: Resources,
    ): Int =
        listOfNotNull(
            quotient(capacity.milliCpus, need.milliCpus),
            quotient(capacity.memoryMb, need.memoryMb),
            quotient(capacity.accelerators, need.accelerators),
            quotient(capacity.slots, need.slots),
        ).minOrNull() ?: Int.MAX_VALUE

    private fun quotient(
        amount: Int,
        need: Int,
    ): Int? = if (need > 0) amount / need else null

    private fun excess(
        unit: String,
        need: Double,
        largest: Double,
    ): String? = if (need > largest) "${format(need)} $unit, at most ${format(largest)} would fit" else null

    private fun format(amount: Double): String = if (amount % 1.0 == 0.0) amount.toLong().toString() else amount.toString()
}
