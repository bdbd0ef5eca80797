package rhubarbknot.core.cell

/** The workings of a cell over one state; built anew when the state is replaced. */
internal class CellComponents(
    state: CellState,
    policy: CellPolicy,
    effects: MutableList<CellEffect>,
) {
    val estimates = Estimates(state.runTimes, state.sizes)
    val index = CellIndex(state, policy)
    val book = JobLifecycle(index, estimates, effects)
    val admission = Admission(index, book, effects)
    val attempts = AttemptTracker(index, book, estimates, effects)
    val scheduler = Scheduler(index, book, estimates, effects)
    val draining = Draining(index, book, admission, effects)
    val limits = LimitEnforcer(index, book)
    val clock = TickHandler(index, book, admission, attempts, draining)
}
