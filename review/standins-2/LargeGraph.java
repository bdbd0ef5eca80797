import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Three large jobs come at once: many steps, each after some of the first ones, within the size that the configuration allows for a body.
 * Ordinary jobs are handed in before and after it, and asked for.
 */
final class LargeGraph {
    private static final int MAX_BODY = 262_144;
    private static final long FINISH_MILLIS = 14_000;
    private static final long WINDOW_MILLIS = 25_000;
    private static final int LARGE_JOBS = 3;
    private static final int STEPS = 6_000;
    private static final String HOST = "board.example";
    private static final String KEY = "key-of-the-crews";
    private static final String CALLS = "/calls/";
    private static final String SORTING = "/sorting/";
    private static final String JOB = "{\"spec\":\"work=800\",\"steps\":[{\"count\":2,\"cpu\":3600,\"mem_mb\":1000,\"estimated_ms\":800},"
        + "{\"count\":1,\"cpu\":3600,\"mem_mb\":1000,\"estimated_ms\":800,\"after\":[0]}]}";

    private static String route(String name, String prefix, int target, int priority, double slack) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"" + prefix + "\",\"kind\":\"unsafe\","
            + "\"timeout_ms\":3000,\"target_duration_ms\":" + target + ",\"priority\":" + priority + ",\"service\":\"board\","
            + "\"max_attempts\":3,\"slack_factor\":" + slack + ",\"public\":false}";
    }

    private static final String CONFIGURATION = "{\"version\":3,\"routes\":[" + route("r-sorting", SORTING, 1000, 1, 2.2) + ","
        + route("r-calls", CALLS, 250, 0, 1.5) + "],\"services\":[{\"name\":\"board\",\"health_path\":\"/healthz\",\"max_conns\":64,"
        + "\"protocol\":\"h1\",\"tls\":false,\"admission_check\":false}],\"limits\":{\"max_header_bytes\":16384,"
        + "\"max_body_bytes\":" + MAX_BODY + ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"crews\","
        + "\"api_keys\":[\"" + KEY + "\"],\"weight\":40,\"cap\":{\"cpu\":300000,\"mem_mb\":1200000,\"gpu\":0}}]}";

    /** Steps that each come after some of the first ones, as many of them as the size allows. */
    private static String graph() {
        StringBuilder text = new StringBuilder("{\"spec\":\"work=10\",\"steps\":[");
        int room = (MAX_BODY - 200) / STEPS - "{\"count\":1,\"cpu\":9,\"after\":[]},".length();
        for (int step = 0; step < STEPS; step++) {
            StringBuilder after = new StringBuilder();
            for (int i = 0; i < step; i++) {
                String next = (after.length() == 0 ? "" : ",") + i;
                if (after.length() + next.length() > room) break;
                after.append(next);
            }
            text.append(step == 0 ? "" : ",").append("{\"count\":1,\"cpu\":9,\"after\":[").append(after).append("]}");
        }
        return text.append("]}").toString();
    }

    public static void main(String[] args) throws Exception {
        Path record = Path.of(args[0], "record.txt");
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Drill drill = new Drill(3, 2);
        if (!drill.start(CONFIGURATION)) drill.finish(record, 2, "could not run: the system did not start");
        for (int i = 0; i < 6; i++) drill.addMinion("i-0" + i, 51 + i, Drill.ZONES[i % 3], "r" + (i % 3), "board", 64_000);
        Drill.sleep(4_000);
        List<String> accepted = new ArrayList<>();
        for (int i = 0; i < 5; i++) submitOrdinary(drill, accepted, i);
        if (accepted.isEmpty()) drill.finish(record, 2, "could not run: no job is accepted");
        AtomicInteger refused = new AtomicInteger();
        if (trouble) {
            String job = graph();
            drill.record("each large job has " + STEPS + " steps of one task and " + job.length() + " bytes");
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < LARGE_JOBS; i++) {
                String id = String.format("00bb87a21d94%04x", i);
                clients.add(Drill.daemon(() -> {
                    if (drill.submit(id, HOST, SORTING, KEY, job) / 100 == 4) refused.incrementAndGet();
                }));
            }
            clients.forEach(Thread::start);
            for (Thread client : clients) client.join();
            if (refused.get() == LARGE_JOBS) drill.finish(record, 0, "LOST held: the large jobs were refused");
        }
        for (int i = 5; i < 8; i++) {
            submitOrdinary(drill, accepted, i);
            Drill.sleep(500);
        }
        drill.record("that was the last request that changes anything; accepted ordinary jobs: " + accepted.size());
        Drill.sleep(FINISH_MILLIS);
        // Each job is asked for until a 200 comes, at either gateway, for as long as the window lasts.
        Set<String> known = new LinkedHashSet<>();
        Set<String> completed = new LinkedHashSet<>();
        long until = drill.now() + WINDOW_MILLIS;
        for (int i = 0; drill.now() < until && completed.size() < accepted.size(); i++) {
            for (String job : accepted) {
                if (completed.contains(job) || drill.now() >= until) continue;
                Http.Response answer = drill.get(drill.gateways.get(i % 2), HOST, CALLS + job, KEY);
                drill.record("GET " + CALLS + job + ": " + (answer == null ? "no answer" : answer.status() + " " + answer.body()));
                if (answer != null && answer.status() == 200) known.add(job);
                if (answer != null && answer.body().contains("completed")) completed.add(job);
            }
            Drill.sleep(300);
        }
        for (Drill.Node node : drill.controls) {
            drill.record(node.name + " says that it serves: " + node.isReady() + "; ended by itself: " + node.ownEnds);
        }
        boolean broken = completed.size() < accepted.size();
        drill.finish(record, broken ? 1 : 0, (broken ? "LOST is broken: " : "LOST held: ") + "of " + accepted.size()
            + " accepted ordinary jobs " + known.size() + " are answered and " + completed.size() + " are completed");
    }

    private static void submitOrdinary(Drill drill, List<String> accepted, int number) {
        String job = String.format("0e7a21d94b36%04x", number);
        if (drill.submit(job, HOST, CALLS, KEY, JOB) / 100 == 2) accepted.add(job);
    }
}
