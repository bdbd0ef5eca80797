import java.nio.file.Path;

/**
 * The only minion of a kind is lost. Jobs that need that kind are handed in before the system has noticed; their tasks are assigned to
 * the minion, and none is ever started. The count of the queue's pending jobs leaves them out.
 */
final class CountedAsBegun extends Scenario {
    private static final int MINIONS = 12;
    private static final int CPU = 16_000;
    private static final int JOBS = 4;
    /** visible_ms + 2 s: only jobs accepted longer ago count. */
    private static final long COUNTED_AFTER_MILLIS = 5_000;

    CountedAsBegun(Path folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) {
        run(CountedAsBegun.class, args[0]);
    }

    @Override
    String play() throws Exception {
        deployment.found();
        configure(1, 3_000);
        Minion only = minion("w01", 1, CPU, "b");
        for (int i = 2; i <= MINIONS; i++) minion(String.format("w%02d", i), i, CPU);
        Minion.sleep(3_000);
        if (!trouble.equals("0")) {
            // Silent at once: nothing more is sent, and what arrives gets no answer.
            only.ordersCut = true;
            only.heartbeatsCut = true;
            trace.line("minion lost for good, silent: " + only);
        }
        String step = "{\"count\":1,\"cpu\":500,\"mem_mb\":100,\"estimated_ms\":300,\"requirements\":\"b\"}";
        for (int i = 1; i <= JOBS; i++) submit(id(i), "work 300", step);
        Minion.sleep(COUNTED_AFTER_MILLIS + 500);
        String broken = null;
        for (int look = 0; look < 6; look++) {
            int waiting = 0;
            for (int i = 1; i <= JOBS; i++) if (!hasStarted(id(i) + ".0.0.0")) waiting++;
            Http.Response response = client("GET", "", null, look);
            require(response != null && response.status() == 200, "the count does not come: " + shown(response));
            long pending = (Long) Json.object(response.body()).get("pending");
            trace.line("client: GET /jobs/: " + shown(response) + "; accepted over 5 s ago and not begun: " + waiting);
            if (2 * pending < waiting) broken = "MIXED: " + pending + " jobs are given as pending, " + waiting + " haven't begun";
            Minion.sleep(500);
        }
        deployment.quoteLogs("runs_assigned", "run_refused", "run_started", "step_waits", "worker_unreachable");
        return broken;
    }
}
