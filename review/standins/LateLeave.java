import java.nio.file.Path;
import java.util.List;

/**
 * A minion drains, says that it leaves, and starts again under its id. The first node that it tells is frozen, so it tells another one.
 * The frozen node wakes when the minion's next life is at work, and then takes the first call.
 */
final class LateLeave extends Scenario {
    private static final int WORK_MILLIS = 8_000;
    private static final long DRAIN_MILLIS = 2_000;
    private static final long FREEZE_MILLIS = 5_000;

    LateLeave(Path folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) {
        run(LateLeave.class, args[0]);
    }

    @Override
    String play() throws Exception {
        deployment.found();
        configure(1, 3_000);
        Deployment.Node leader = deployment.leader();
        require(leader != null, "there is no leader");
        List<Deployment.Node> others = deployment.controls.stream().filter(node -> node != leader).toList();
        // The freeze is to be nothing but a freeze: a node that doesn't lead.
        Deployment.Node frozen = others.get(0);
        List<String> controls = List.of(others.get(1).address(), leader.address(), frozen.address());
        Minion first = minion("w1", 1, 16_000, "a", controls);
        minion("w2", 2, 16_000, "a", controls);
        Minion.sleep(2_000);

        require(first.drain(), "draining is not acknowledged");
        trace.line(first + " drains, acknowledged");
        Minion.sleep(DRAIN_MILLIS + 200);
        long frozenAt = System.nanoTime();
        if (!trouble.equals("0")) frozen.freeze();
        first.leave(List.of(frozen.address(), controls.get(0), controls.get(1)));

        Minion.sleep(1_000);
        Minion second = minion("w1", 1, 16_000, "a", controls);
        Minion.sleep(1_500);
        submit(id(1), "work " + WORK_MILLIS, "{\"count\":1,\"cpu\":1000,\"mem_mb\":100,\"estimated_ms\":" + WORK_MILLIS + "}");
        String task = id(1) + ".0.0.0";
        require(await(1_200, () -> second.isRunning(task)), "the task does not start on the next life of w1");
        Minion.sleep(Math.max(0, FREEZE_MILLIS - (System.nanoTime() - frozenAt) / 1_000_000));
        if (!trouble.equals("0")) frozen.wake();
        await(WORK_MILLIS, () -> {
            Minion.sleep(50);
            return firstOverlap() != null || state(id(1)).equals("completed");
        });
        Minion.sleep(500);
        deployment.quoteLogs("worker_over", "run_lost", "run_started");
        return firstOverlap() == null ? null : "TWICE: " + firstOverlap();
    }
}
