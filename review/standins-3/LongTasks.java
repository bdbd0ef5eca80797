import java.util.ArrayList;
import java.util.List;

/** Jobs of one task each that take long and whose estimate is missing: on an idle cell they are stopped and started over and over, and some never run. */
public class LongTasks extends Stand {
    static final int MINIONS = 8;
    static final int CPU = 32_000;
    static final int ORDINARY = 228;
    static final int LONG = 12;
    static final long LONG_MILLIS = 300_000;

    /** finish_s. */
    static final long FINISH = 14;

    public static void main(String[] args) throws Exception {
        play(args[0], 3, 1, LongTasks::run);
    }

    static String longJob(int n) {
        return String.format("10c0%012x", n);
    }

    static boolean run(Deployment d) throws Exception {
        d.startAll();
        order(d, "PUT", "/rhubarbknot/config", configuration(1, 1, 3), 30_000);
        while (client(d, 0, "GET", "", null, 1_000).status != 200) sleep(100);
        List<Minion> minions = new ArrayList<>();
        for (int i = 0; i < MINIONS; i++) {
            Minion minion = new Minion(d, 101 + i, "i-" + (100 + i), CPU, "a", 300, SOUND);
            minion.longJobs = "10c0";
            minion.longMillis = LONG_MILLIS;
            minion.quiet = true;
            minion.start(0);
            minions.add(minion);
        }
        sleep(1_000);
        int accepted = 0;
        for (int n = 0; n < ORDINARY; n++) {
            String id = String.format("beef%012x", n);
            if (client(d, 0, "POST", id, "{\"spec\":\"call\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":64,\"estimated_ms\":300}]}", 3_000).status == 200) accepted++;
            sleep(50);
        }
        sleep(1_500);
        note(accepted + " of " + ORDINARY + " ordinary jobs accepted; the last is " + state(d, String.format("beef%012x", ORDINARY - 1)));
        String estimate = TROUBLE ? "" : ",\"estimated_ms\":" + LONG_MILLIS;
        for (int n = 0; n < LONG; n++) submit(d, longJob(n), "{\"spec\":\"sort\",\"steps\":[{\"count\":1,\"cpu\":5000,\"mem_mb\":64" + estimate + "}]}", 3_000);
        double[] lastRun = new double[LONG];
        double[] longestIdle = new double[LONG];
        double from = seconds();
        while (seconds() - from < FINISH + 30) {
            for (int n = 0; n < LONG; n++) {
                String task = longJob(n) + ".0.0.0";
                boolean runs = minions.stream().anyMatch(m -> m.holds(task));
                if (runs || seconds() - from < FINISH) lastRun[n] = seconds();
                longestIdle[n] = Math.max(longestIdle[n], seconds() - lastRun[n]);
            }
            if (Math.round((seconds() - from) * 20) % 100 == 0) {
                int running = 0;
                for (int n = 0; n < LONG; n++) {
                    String task = longJob(n) + ".0.0.0";
                    if (minions.stream().anyMatch(m -> m.holds(task))) running++;
                }
                int stopped = minions.stream().mapToInt(m -> m.ends.getOrDefault("10c0 stopped", 0)).sum();
                note(running + " of " + LONG + " long jobs run; runs of them stopped so far " + stopped);
                sleep(60);
            }
            sleep(20);
        }
        int left = 0;
        for (int n = 0; n < LONG; n++) {
            note("job " + longJob(n) + " is shown as " + state(d, longJob(n)) + String.format("; nothing of it ran for %.1f s on end, from finish_s on", longestIdle[n]));
            if (longestIdle[n] >= 3.0) left++;
        }
        note(left + " of " + LONG + " long jobs had nothing running for 3 s or more, while at most 60 of 256 cores were in use");
        return left == 0;
    }
}
