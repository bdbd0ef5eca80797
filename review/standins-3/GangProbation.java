import java.util.Map;

/** The only minion that may run a gang turns one of its starts away, once; the gang is never started again. */
public class GangProbation extends Stand {
    static final String JOB = "9b1d0e7a21d94b36";
    static final int SIZE = 4;

    /** How long the minion is unhealthy. */
    static final long UNHEALTHY_NANOS = 1_500_000_000L;

    /** finish_s is 14. */
    static final long PATIENCE = 40;
    static volatile long unhealthyUntil = Long.MIN_VALUE;
    static int starts;

    /** While it is unhealthy, a minion turns every other start away. */
    static final Manners GREY = new Manners() {
        @Override
        public synchronized int turnsAway(Minion minion, String path, Map<String, Object> order) {
            if (!path.endsWith("/run-start") || unhealthyUntil == Long.MIN_VALUE || System.nanoTime() > unhealthyUntil) return 0;
            return starts++ % 2 == 1 ? 503 : 0;
        }
    };

    public static void main(String[] args) throws Exception {
        play(args[0], 3, 1, GangProbation::run);
    }

    static boolean runsWhole(Minion minion) {
        for (int i = 0; i < SIZE; i++) if (!minion.isRunning(JOB + ".0.0." + i)) return false;
        return true;
    }

    static boolean run(Deployment d) throws Exception {
        d.startAll();
        order(d, "PUT", "/rhubarbknot/config", configuration(1, 1, 3), 30_000);
        while (client(d, 0, "GET", "", null, 1_000).status != 200) sleep(100);
        for (int i = 0; i < 7; i++) new Minion(d, 101 + i, "i-10" + i, 32_000, "a", 1_000, SOUND).start(0);
        Minion able = new Minion(d, 108, "i-108", 32_000, "b", 1_000, GREY);
        able.start(0);
        sleep(1_000);
        if (TROUBLE) {
            unhealthyUntil = System.nanoTime() + UNHEALTHY_NANOS;
            note("minion " + able.id + ", one of eight, is unhealthy for 1.5 s");
        }
        submit(d, JOB, "{\"spec\":\"sort\",\"steps\":[{\"count\":" + SIZE + ",\"cpu\":2000,\"mem_mb\":256,\"estimated_ms\":1000,\"gang\":true,"
            + "\"requirements\":\"b\"}]}", 3_000);
        long lastRun = System.nanoTime();
        boolean wasUnhealthy = TROUBLE;
        while (true) {
            if (wasUnhealthy && System.nanoTime() > unhealthyUntil) {
                note("minion " + able.id + " is sound again");
                wasUnhealthy = false;
            }
            for (int i = 0; i < SIZE; i++) if (able.holds(JOB + ".0.0." + i)) lastRun = System.nanoTime();
            String state = state(d, JOB);
            if (state.equals("completed")) {
                note("the job is completed");
                return true;
            }
            long idle = (System.nanoTime() - lastRun) / 1_000_000_000L;
            if (idle >= PATIENCE) {
                note("the job is shown as " + state + "; nothing of it has run for " + idle + " s, and " + able.id + " is idle");
                return false;
            }
            sleep(100);
        }
    }
}
