package rhubarbknot.core.cell

/** The components of a cell, which share one state; created again when the state is replaced. */
internal class CellComponents(
    state: CellState,
    policy: CellPolicy,
    effects: MutableList<CellEffect>,
) {
    val estimates = Estimates(state.runTimes, state.sizes)
    val index = CellIndex(state, policy)
    val lifecycle = JobLifecycle(index, estimates, effects)
    val admission = Admission(index, lifecycle, effects)
    val attempts = AttemptTracker(index, lifecycle, estimates, effects)
    val scheduler = Scheduler(index, lifecycle, estimates, effects)
    val draining = Draining(index, lifecycle, admission, effects)
    val limits = LimitEnforcer(index, lifecycle)
    val ticks = TickHandler(index, lifecycle, admission, attempts, draining)
}
