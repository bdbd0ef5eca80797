import java.nio.file.Path;

/**
 * The only minion of a kind fails all that it starts for a few seconds. When it is sound again, a task that lasts takes the one run
 * that the minion is allowed until a run on it succeeds, and no other job of that kind is ever started, though the minion is free.
 */
final class LastingProbation extends Scenario {
    /** One of twelve: a share of .083 of the minions. */
    private static final int MINIONS = 12;
    private static final int CPU = 16_000;
    private static final long GREY_MILLIS = 4_000;
    /** finish_s of the deployment. */
    private static final long FINISH_MILLIS = 14_000;
    private static final String TASK = "{\"count\":1,\"cpu\":500,\"mem_mb\":100,\"estimated_ms\":300,\"requirements\":\"b\"";

    LastingProbation(Path folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) {
        run(LastingProbation.class, args[0]);
    }

    @Override
    String play() throws Exception {
        deployment.found();
        configure(1, 3_000);
        Minion only = minion("w01", 1, CPU, "b");
        for (int i = 2; i <= MINIONS; i++) minion(String.format("w%02d", i), i, CPU);
        Minion.sleep(3_000);
        if (!trouble.equals("0")) {
            only.grey = true;
            trace.line("from now on " + only + " fails all that it starts");
        }
        submit(id(1), "work 300", TASK + "}");
        submit(id(2), "work 300", TASK + "}");
        Minion.sleep(1_000);
        submit(id(3), "serve", TASK + ",\"long_running\":true}");
        Minion.sleep(GREY_MILLIS - 1_000);
        if (only.grey) {
            only.grey = false;
            trace.line(only + " is sound again");
        }
        Minion.sleep(4_000);
        submit(id(4), "work 300", TASK + "}");
        // The traffic ends here; the pages ask for the jobs finish_s later, and allow 3 s with nothing running.
        boolean done = await(FINISH_MILLIS, () -> {
            Minion.sleep(500);
            return state(id(1)).equals("completed") & state(id(2)).equals("completed") & state(id(4)).equals("completed");
        });
        trace.line("at work on " + only + ": " + only.runningCount() + " tasks of 500, room " + CPU);
        deployment.quoteLogs("worker_distrusted", "step_waits", "run_ended");
        if (done) return null;
        return "LOST: of the jobs 1, 2 and 4 one has had nothing running for " + FINISH_MILLIS / 1000 + " s, with room for it 31 times over";
    }
}
