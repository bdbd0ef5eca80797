package rhubarbknot.flow.dispatch

import rhubarbknot.flow.model.StepSpec
import kotlin.math.exp
import kotlin.math.ln

/** Learns per queue how the real duration of successful runs relates to the callers' estimates. */
internal class RunDurationEstimator {
    private val logRatios = HashMap<String, Double>()

    /** Records that a run of [spec] on [queue] took [durationMillis]. */
    fun learn(
        queue: String,
        spec: StepSpec,
        durationMillis: Long,
    ) {
        if (spec.estimatedMillis <= 0 || durationMillis <= 0) return
        val ratio = ln(durationMillis.toDouble() / spec.estimatedMillis)
        val previous = logRatios[queue]
        logRatios[queue] = if (previous == null) ratio else previous + (ratio - previous) * SMOOTHING_FACTOR
    }

    /** Expected duration of a task of [spec] on [queue]. */
    fun expectedMillis(
        queue: String,
        spec: StepSpec,
    ): Long {
        if (spec.estimatedMillis <= 0) return DEFAULT_MILLIS
        return (spec.estimatedMillis * exp(logRatios[queue] ?: 0.0)).toLong().coerceAtMost(MAX_MILLIS)
    }

    private companion object {
        const val SMOOTHING_FACTOR = 0.02

        /** A year; sums of durations must not overflow. */
        const val MAX_MILLIS = 366L * 24 * 3_600_000

        /** Assumed for tasks whose caller gave no estimate. */
        const val DEFAULT_MILLIS = 1_000L
    }
}
