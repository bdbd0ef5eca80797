package rhubarbknot.core.explain

import rhubarbknot.core.model.TeamId
import rhubarbknot.core.model.WaitInterval
import rhubarbknot.core.model.WaitReason

/** Converts recorded wait reasons into sentences for readers without a technical background. */
object WaitExplainer {
    /** The total wait, followed by one sentence per interval, in order. The intervals add up to the total. */
    fun explain(
        team: TeamId,
        zone: String,
        waits: List<WaitInterval>,
    ): List<String> {
        if (waits.isEmpty()) return listOf("It did not wait.")
        val total = "It waited ${duration(waits.sumOf { it.millis })} in all."
        return listOf(total) + waits.map { "${duration(it.millis)}: ${cause(it.reason, team, zone)}." }
    }

    /** Advice on shortening the wait, for the reason that accounts for most of it; null if there is none. */
    fun advice(waits: List<WaitInterval>): String? {
        val longest = waits.groupBy { it.reason }.maxByOrNull { (_, intervals) -> intervals.sumOf { it.millis } }?.key ?: return null
        return advice(longest)
    }

    /** Advice on shortening waits for [reason]; null if neither operators nor the team can shorten them. */
    fun advice(reason: WaitReason): String? =
        when (reason) {
            WaitReason.TEAM_AT_CEILING -> "A higher ceiling for this team would have helped."
            WaitReason.URGENT_ALLOWANCE_USED -> "A higher allowance for urgent work would have helped."
            WaitReason.CELL_FULL, WaitReason.GANG_ASSEMBLING -> "More workers in this zone would have helped."
            WaitReason.OTHERS_BELOW_SHARE -> "A larger share for this team, or more workers, would have helped."
            WaitReason.NO_FITTING_EXECUTOR -> "A larger worker, or a smaller task, would have helped."
            WaitReason.RETRY_BACKOFF, WaitReason.RETRY_BUDGET_USED -> "Finding out why the earlier tries failed would help."
            else -> null
        }

    fun cause(
        reason: WaitReason,
        team: TeamId,
        zone: String,
    ): String =
        when (reason) {
            WaitReason.SCHEDULING -> "it had just been taken in"
            WaitReason.TEAM_AT_CEILING -> "team $team was already running as much as its ceiling allows in zone $zone"
            WaitReason.URGENT_ALLOWANCE_USED -> "team $team was already running all the urgent work its row allows"
            WaitReason.CELL_FULL -> "no machine in zone $zone had room"
            WaitReason.OTHERS_BELOW_SHARE -> "zone $zone was full, and other teams had received less of their share"
            WaitReason.ZONE_OUT -> "zone $zone was out of service"
            WaitReason.ZONE_CUT_OFF -> "zone $zone was cut off from the others and was not allowed to start anything"
            WaitReason.NO_EXECUTORS -> "no machine of the kind it needs was there in zone $zone"
            WaitReason.NO_FITTING_EXECUTOR -> "no machine in zone $zone is large enough for it"
            WaitReason.GANG_ASSEMBLING -> "all its parts must start together, and there was not room for all of them"
            WaitReason.RETRY_BACKOFF -> "an earlier try had failed, and the next one was spaced out"
            WaitReason.RETRY_BUDGET_USED -> "team $team had used up its retries for the minute"
            WaitReason.MAKING_ROOM -> "it had been paused to make room for other work"
        }

    fun duration(millis: Long): String {
        val seconds = millis / MILLIS_PER_SECOND
        return when {
            millis < MILLIS_PER_SECOND -> "$millis ms"
            seconds < SECONDS_PER_MINUTE -> "$seconds s"
            seconds < SECONDS_PER_HOUR -> "${seconds / SECONDS_PER_MINUTE} min ${seconds % SECONDS_PER_MINUTE} s"
            else -> "${seconds / SECONDS_PER_HOUR} h ${seconds % SECONDS_PER_HOUR / SECONDS_PER_MINUTE} min"
        }
    }

    private const val MILLIS_PER_SECOND = 1_000L
    private const val SECONDS_PER_MINUTE = 60L
    private const val SECONDS_PER_HOUR = 3_600L
}
