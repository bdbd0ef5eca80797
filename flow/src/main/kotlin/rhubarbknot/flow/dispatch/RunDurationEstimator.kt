package rhubarbknot.flow.dispatch

import rhubarbknot.flow.model.StepSpec
import kotlin.math.abs
import kotlin.math.exp
import kotlin.math.ln

/** Learns per queue how the real duration of successful runs relates to the callers' estimates. */
internal class RunDurationEstimator {
    private val logRatios = HashMap<String, Double>()

    /** Mean distance of the logarithms from [logRatios]. */
    private val deviations = HashMap<String, Double>()

    /** Records that a run of [spec] on [queue] took [durationMillis]. */
    fun learn(
        queue: String,
        spec: StepSpec,
        durationMillis: Long,
    ) {
        if (spec.estimatedMillis <= 0 || durationMillis <= 0) return
        val ratio = ln(durationMillis.toDouble() / spec.estimatedMillis)
        val previous = logRatios[queue]
        val deviation = deviations[queue] ?: DEFAULT_DEVIATION
        if (previous != null) deviations[queue] = deviation + (abs(ratio - previous) - deviation) * SMOOTHING_FACTOR
        logRatios[queue] = if (previous == null) ratio else previous + (ratio - previous) * SMOOTHING_FACTOR
    }

    /** Factor by which the estimate of a job on [queue] may be too low, as learnt from how far the estimates lie apart. */
    fun uncertainty(queue: String): Double = exp(UNCERTAIN_DEVIATIONS * (deviations[queue] ?: DEFAULT_DEVIATION))

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

        /** Estimates that are usually wrong by a factor of two, until something is learnt. */
        const val DEFAULT_DEVIATION = 0.7

        /** Mean deviations within which nine of ten estimates lie. */
        const val UNCERTAIN_DEVIATIONS = 2.0

        /** A year; sums of durations must not overflow. */
        const val MAX_MILLIS = 366L * 24 * 3_600_000

        /** Assumed for tasks whose caller gave no estimate. */
        const val DEFAULT_MILLIS = 1_000L
    }
}
