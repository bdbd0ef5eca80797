package rhubarbknot.flow.dispatch

import rhubarbknot.flow.model.StepSpec
import kotlin.math.exp
import kotlin.math.ln

/** How long tasks really take against their callers' estimates, learned for each queue from runs that ended well. */
internal class RunDurationEstimator {
    private val logRatios = HashMap<String, Double>()

    /** A run of [spec] on [queue] took [durationMillis]. */
    fun learn(
        queue: String,
        spec: StepSpec,
        durationMillis: Long,
    ) {
        if (spec.estimatedMillis <= 0 || durationMillis <= 0) return
        val ratio = ln(durationMillis.toDouble() / spec.estimatedMillis)
        val known = logRatios[queue]
        logRatios[queue] = if (known == null) ratio else known + (ratio - known) * WEIGHT_OF_NEWEST
    }

    /** Milliseconds that a task of [spec] on [queue] probably takes. */
    fun expectedMillis(
        queue: String,
        spec: StepSpec,
    ): Long {
        if (spec.estimatedMillis <= 0) return UNKNOWN_MILLIS
        return (spec.estimatedMillis * exp(logRatios[queue] ?: 0.0)).toLong()
    }

    private companion object {
        const val WEIGHT_OF_NEWEST = 0.02

        /** Taken for tasks whose caller gave no estimate. */
        const val UNKNOWN_MILLIS = 1_000L
    }
}
