import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One tenant sends many times its usual, time and again; what is beyond its cap waits. Another tenant hands in some ordinary jobs all the
 * while and asks for them afterwards. Without the disruption the first tenant sends its usual.
 */
final class HotTenant {
    private static final int USUAL_PER_SECOND = 20;
    private static final double TIMES = 7.5;
    private static final long HOT_MILLIS = 6_500;
    private static final long PAUSE_MILLIS = 2_500;
    private static final int WAVES = 5;
    private static final long FINISH_MILLIS = 14_000;
    private static final long WINDOW_MILLIS = 20_000;
    private static final String HOST = "board.example";
    private static final String HOT = "key-of-the-hot-tenant";
    private static final String CREWS = "key-of-the-crews";
    private static final String CALLS = "/calls/";
    private static final String SORTING = "/sorting/";
    private static final String JOB =
        "{\"spec\":\"work=800\",\"steps\":[{\"count\":2,\"cpu\":3600,\"mem_mb\":1000,\"estimated_ms\":800}]}";

    /** A spec of the length that PROTOCOL allows. */
    private static final String LONG_SPEC = ("work=6200 " + "x".repeat(4_000)).substring(0, 4_000);
    private static final String HOT_JOB = "{\"spec\":\"" + LONG_SPEC
        + "\",\"steps\":[{\"count\":5,\"cpu\":18000,\"mem_mb\":4000,\"estimated_ms\":6200}]}";

    private static String route(String name, String prefix, int target, int priority, double slack) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"" + prefix + "\",\"kind\":\"unsafe\","
            + "\"timeout_ms\":3000,\"target_duration_ms\":" + target + ",\"priority\":" + priority + ",\"service\":\"board\","
            + "\"max_attempts\":3,\"slack_factor\":" + slack + ",\"public\":false}";
    }

    private static String tenant(String name, String key, int weight, int cpu) {
        return "{\"name\":\"" + name + "\",\"api_keys\":[\"" + key + "\"],\"weight\":" + weight + ",\"cap\":{\"cpu\":" + cpu
            + ",\"mem_mb\":2400000,\"gpu\":0}}";
    }

    private static final String CONFIGURATION = "{\"version\":3,\"routes\":[" + route("r-sorting", SORTING, 1000, 1, 2.2) + ","
        + route("r-calls", CALLS, 250, 0, 1.5) + "],\"services\":[{\"name\":\"board\",\"health_path\":\"/healthz\",\"max_conns\":64,"
        + "\"protocol\":\"h1\",\"tls\":false,\"admission_check\":false}],\"limits\":{\"max_header_bytes\":16384,"
        + "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":["
        + tenant("hot", HOT, USUAL_PER_SECOND, 200_000) + "," + tenant("crews", CREWS, 20, 100_000) + "]}";

    public static void main(String[] args) throws Exception {
        Path record = Path.of(args[0], "record.txt");
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Drill drill = new Drill(3, 2);
        if (!drill.start(CONFIGURATION)) drill.finish(record, 2, "could not run: the system did not start");
        for (int i = 0; i < 6; i++) drill.addMinion("i-0" + i, 51 + i, Drill.ZONES[i % 3], "r" + (i % 3), "board", 64_000);
        Drill.sleep(4_000);
        List<String> accepted = Collections.synchronizedList(new ArrayList<>());
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger taken = new AtomicInteger();
        ExecutorService clients = Executors.newFixedThreadPool(48, Drill::daemon);
        long from = drill.now();
        long until = from + WAVES * (HOT_MILLIS + PAUSE_MILLIS);
        long nextOrdinary = from;
        double owed = 0;
        long last = from;
        int ordinary = 0;
        while (drill.now() < until && ownEnds(drill) < 6) {
            long now = drill.now();
            boolean hot = trouble && (now - from) % (HOT_MILLIS + PAUSE_MILLIS) < HOT_MILLIS;
            owed += (now - last) / 1000.0 * USUAL_PER_SECOND * (hot ? TIMES : 1);
            last = now;
            for (; owed >= 1; owed--) {
                int number = sent.incrementAndGet();
                clients.execute(() -> {
                    String to = drill.gateways.get(number % 2).callersAddress();
                    Http.Response answer = Http.call(to, "POST", SORTING + String.format("00bb87a2%08x", number), HOST, HOT, HOT_JOB, 3_000);
                    if (answer != null && answer.status() == 200) taken.incrementAndGet();
                });
            }
            if (now >= nextOrdinary) {
                nextOrdinary = now + 1_000;
                String job = String.format("0e7a21d94b36%04x", ordinary++);
                clients.execute(() -> {
                    if (drill.submit(job, HOST, CALLS, CREWS, JOB) == 200) accepted.add(job);
                });
                drill.record("the hot tenant has sent " + sent + " jobs, accepted " + taken + "; processes ended by themselves: "
                    + ownEnds(drill));
            }
            Drill.sleep(20);
        }
        clients.shutdown();
        clients.awaitTermination(4, TimeUnit.SECONDS);
        drill.record("that was the last job; accepted of the hot tenant " + taken + ", ordinary ones " + accepted.size());
        if (accepted.isEmpty()) drill.finish(record, 2, "could not run: no ordinary job is accepted");
        Drill.sleep(FINISH_MILLIS);
        Set<String> known = new LinkedHashSet<>();
        Set<String> completed = new LinkedHashSet<>();
        until = drill.now() + WINDOW_MILLIS;
        for (int i = 0; drill.now() < until && completed.size() < accepted.size(); i++) {
            for (String job : new ArrayList<>(accepted)) {
                if (completed.contains(job) || drill.now() >= until) continue;
                Http.Response answer = drill.get(drill.gateways.get(i % 2), HOST, CALLS + job, CREWS);
                if (i % 10 == 0) {
                    drill.record("GET " + CALLS + job + ": " + (answer == null ? "no answer" : answer.status() + " " + answer.body()));
                }
                if (answer != null && answer.status() == 200) known.add(job);
                if (answer != null && answer.body().contains("completed")) completed.add(job);
            }
            Drill.sleep(300);
        }
        for (Drill.Node node : drill.controls) drill.record(node.name + " has ended by itself " + node.ownEnds + " times");
        boolean broken = completed.size() < accepted.size();
        drill.finish(record, broken ? 1 : 0, (broken ? "LOST is broken: " : "LOST held: ") + "of " + accepted.size()
            + " accepted ordinary jobs " + known.size() + " are answered and " + completed.size() + " are completed; control processes ended"
            + " by themselves " + ownEnds(drill) + " times");
    }

    private static int ownEnds(Drill drill) {
        return drill.controls.stream().mapToInt(node -> node.ownEnds).sum();
    }
}
