package rhubarbknot.core.cell

import rhubarbknot.core.model.WorkKind

/**
 * Brings teams that exceed a lowered limit back under it. Stops batch tasks before services and the most recently started
 * tasks first, with a checkpoint before the kill. Tasks that must not run twice, and calls, are left to finish.
 */
internal class LimitEnforcer(
    private val index: CellIndex,
    private val lifecycle: JobLifecycle,
) {
    private val state get() = index.state

    fun enforce() {
        val over = state.teams.values.filter { it.running > it.limit }
        if (over.isEmpty()) return
        val byTeam =
            state.executors.values
                .flatMap { it.running }
                .groupBy { it.job.id.team }
        over.forEach { team -> enforce(team, byTeam[team.team].orEmpty()) }
    }

    private fun enforce(
        team: TeamState,
        running: List<Task>,
    ) {
        val excess = team.running - team.limit - running.count { it.stop != null }
        if (excess <= 0) return
        running
            .filter { it.stop == null && it.job.spec.idempotent && it.job.spec.kind != WorkKind.CALL }
            .sortedWith(VICTIM_ORDER)
            .take(excess)
            .forEach { lifecycle.stop(it, StopMode.CHECKPOINT, state.now + index.policy.limitGraceMillis) }
    }

    private companion object {
        val VICTIM_ORDER: Comparator<Task> =
            compareBy({ it.job.spec.kind == WorkKind.SERVICE }, { -it.startedAt }, { -it.job.seq }, { -it.index })
    }
}
