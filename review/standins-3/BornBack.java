/** A minion restarts under its id while the time of day of its machine has jumped back, so that its new life is born before the old one. */
public class BornBack extends Stand {
    static final String JOB = "5c0e7a21d94b36f8";
    static final String TASK = JOB + ".0.0.0";

    /** Largest jump of the time of day that a site names. */
    static final long JUMP = 2_400;

    /** finish_s, and as much again. */
    static final long PATIENCE = 40;

    public static void main(String[] args) throws Exception {
        play(args[0], 3, 1, BornBack::run);
    }

    static boolean run(Deployment d) throws Exception {
        d.startAll();
        order(d, "PUT", "/rhubarbknot/config", configuration(1, 1, 3), 30_000);
        while (client(d, 0, "GET", "", null, 1_000).status != 200) sleep(100);
        Minion first = new Minion(d, 101, "i-7f3a91c2", 8_000, "a", 4_000, SOUND);
        Minion[] others = {new Minion(d, 102, "i-102", 8_000, "a", 4_000, SOUND), new Minion(d, 103, "i-103", 8_000, "a", 4_000, SOUND)};
        first.start(0);
        submit(d, JOB, "{\"spec\":\"sort\",\"steps\":[{\"count\":1,\"cpu\":2000,\"mem_mb\":256,\"estimated_ms\":4000}]}", 3_000);
        long until = System.nanoTime() + 3_000_000_000L;
        while (!first.isRunning(TASK) && System.nanoTime() < until) sleep(5);
        if (!first.isRunning(TASK)) throw new CannotRun("the task did not start on the only minion");
        for (Minion other : others) other.start(0);
        sleep(300);
        long firstBorn = first.life.born;
        first.crash();
        sleep(1_200);
        if (TROUBLE) note("the time of day of the machine of " + first.id + " jumps back by " + JUMP + " ms");
        first.start(TROUBLE ? -JUMP : 0);
        note("the new life was born " + (first.life.born - firstBorn) + " ms later than the one before");
        long lastRun = System.nanoTime();
        while (true) {
            boolean runs = first.isRunning(TASK) || others[0].isRunning(TASK) || others[1].isRunning(TASK);
            if (runs) lastRun = System.nanoTime();
            String state = state(d, JOB);
            if (state.equals("completed")) {
                note("the job is completed");
                return true;
            }
            long idle = (System.nanoTime() - lastRun) / 1_000_000_000L;
            if (idle >= PATIENCE) {
                note("the job is shown as " + state + ", nothing of it has run for " + idle + " s, and two minions are idle");
                return false;
            }
            sleep(500);
        }
    }
}
