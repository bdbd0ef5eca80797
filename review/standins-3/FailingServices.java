import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Two jobs of one tenant that last and whose tasks fail soon after each start; the jobs of another tenant are never started again on an idle cell. */
public class FailingServices extends Stand {
    static final int MINIONS = 8;
    static final int CPU = 32_000;
    static final String SERVICES = "dead";
    static final String KEY_OF_SERVICES = "k3y0fth3t3n4nt01";

    /** finish_s. */
    static final long FINISH = 14;

    public static void main(String[] args) throws Exception {
        play(args[0], 3, 1, FailingServices::run);
    }

    static Map<String, Integer> ends(List<Minion> minions) {
        Map<String, Integer> sum = new TreeMap<>();
        minions.forEach(m -> m.ends.forEach((how, n) -> sum.merge(how, n, Integer::sum)));
        return sum;
    }

    static boolean run(Deployment d) throws Exception {
        d.startAll();
        String tenants = ",{\"name\":\"t-two\",\"api_keys\":[\"" + KEY_OF_SERVICES + "\"],\"priority\":1,\"weight\":19,\"cap\":{\"cpu\":0,\"mem_mb\":0,\"gpu\":0}}]}";
        String config = configuration(1, 1, 3);
        order(d, "PUT", "/rhubarbknot/config", config.substring(0, config.length() - 2) + tenants, 30_000);
        while (client(d, 0, "GET", "", null, 1_000).status != 200) sleep(100);
        List<Minion> minions = new ArrayList<>();
        for (int i = 0; i < MINIONS; i++) {
            Minion minion = new Minion(d, 101 + i, "i-" + (100 + i), CPU, "a", 300, SOUND);
            minion.lastingJobs = SERVICES;
            minion.failingJobs = TROUBLE ? SERVICES : null;
            minion.failsAfterMillis = 100;
            minion.quiet = true;
            minion.start(0);
            minions.add(minion);
        }
        sleep(1_000);
        Map<String, Double> open = new LinkedHashMap<>();
        String job = "{\"spec\":\"call\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":64,\"estimated_ms\":300}]}";
        String service = "{\"spec\":\"board\",\"steps\":[{\"count\":12,\"cpu\":500,\"mem_mb\":64,\"estimated_ms\":300,\"long_running\":true}]}";
        for (int i = 0; i < 2; i++) {
            String id = SERVICES + String.format("%012x", i);
            Answer answer = call(d.front(0), "POST", PREFIX + id, service, 3_000, "Host", HOST, "Authorization", "Bearer " + KEY_OF_SERVICES);
            note("tenant t-two POST " + id + " (12 tasks that last" + (TROUBLE ? " and fail 0.1 s after each start) -> " : ") -> ") + answer.status);
            if (answer.status != 200) throw new CannotRun("the service was not accepted");
        }
        sleep(5_000);
        for (int n = 0; n < 40; n++) {
            String id = String.format("beef%012x", n);
            if (client(d, 0, "POST", id, job, 3_000).status == 200) open.put(id, seconds());
            open.keySet().removeIf(j -> state(d, j).equals("completed"));
            if (n % 5 == 4) note("tenant t-one: " + (n + 1) + " jobs handed in, not completed " + open.size() + "; ends " + ends(minions));
            sleep(500);
        }
        double from = seconds();
        while (seconds() - from < FINISH + 26 && !open.isEmpty()) {
            sleep(1_000);
            open.keySet().removeIf(j -> state(d, j).equals("completed"));
            if (Math.round(seconds() - from) % 5 == 0) note("no more jobs; not completed " + open.size() + "; ends " + ends(minions));
        }
        Map<String, Integer> states = new TreeMap<>();
        open.keySet().forEach(j -> states.merge(state(d, j), 1, Integer::sum));
        note(open.size() + " jobs of t-one are not completed " + Math.round(seconds() - from) + " s after the last was handed in: " + states);
        return open.isEmpty();
    }
}
