import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What all cases share: the deployment, the operator, a client, and the record of which runs of a task were at work at one time.
 * Ends the process with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
 */
abstract class Scenario implements Minion.Observer {
    /** A case ends by itself well before the 120 seconds that it may take. */
    private static final long WATCHDOG_MILLIS = 116_000;
    static final String HOST = "jobs.example";
    static final String KEY = "key-1";

    final Trace trace;
    final Deployment deployment;
    final String trouble;
    private final Map<String, Map<String, Long>> atWork = new LinkedHashMap<>();
    private final List<String> overlaps = new ArrayList<>();
    private final Set<String> startedTasks = new HashSet<>();

    Scenario(Path folder) throws Exception {
        trace = new Trace(folder.resolve("record.txt"));
        trouble = System.getenv().getOrDefault("TROUBLE", "1");
        deployment = new Deployment(trace);
    }

    /** The case could not run. */
    static final class CannotRun extends Exception {
        CannotRun(String reason) {
            super(reason);
        }
    }

    /** Plays the case; returns what was broken, or null. */
    abstract String play() throws Exception;

    static void run(Class<? extends Scenario> type, String folder) {
        Scenario scenario = null;
        int code;
        try {
            scenario = type.getDeclaredConstructor(Path.class).newInstance(Path.of(folder));
            Trace trace = scenario.trace;
            Thread watchdog = new Thread(() -> {
                Minion.sleep(WATCHDOG_MILLIS);
                trace.line("could not run: out of time");
                System.exit(2);
            });
            watchdog.setDaemon(true);
            watchdog.start();
            String broken = scenario.play();
            trace.line(broken == null ? "the rule held" : "BROKEN: " + broken);
            code = broken == null ? 0 : 1;
        } catch (Exception e) {
            String reason = e instanceof CannotRun ? e.getMessage() : e.toString();
            if (scenario != null) scenario.trace.line("could not run: " + reason);
            else System.err.println("could not run: " + reason);
            code = 2;
        }
        System.exit(code);
    }

    // Operator and client

    /** Sends a configuration until it is acknowledged. */
    void configure(int version, int timeoutMillis) throws CannotRun {
        String body = configuration(version, timeoutMillis, "");
        for (int i = 0; i < 300; i++) {
            List<String> controls = deployment.controlAddresses();
            String to = controls.get(i % controls.size());
            Http.Response response = Http.call(to, "PUT", "/rhubarbknot/config", null, null, body, 1_000);
            if (response != null && response.status() == 200) {
                trace.line("operator: configuration " + version + " sent to " + to + ", answered 200");
                return;
            }
            Minion.sleep(100);
        }
        throw new CannotRun("no configuration was acknowledged");
    }

    /** A complete configuration; {@code moreRoutes} begins with a comma or is empty. */
    static String configuration(int version, int timeoutMillis, String moreRoutes) {
        return "{\"version\":" + version + ",\"routes\":[" + route("r-1", "/jobs/", timeoutMillis, 1, false) + moreRoutes + "],\"services\":"
            + "[{\"name\":\"board\",\"health_path\":\"/healthz\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,"
            + "\"cold_per_s\":0.0,\"admission_check\":false,\"standby\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
            + "262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"t-1\",\"api_keys\":[\"" + KEY
            + "\"],\"priority\":1,\"weight\":19,\"cap\":{\"cpu\":200000,\"mem_mb\":800000,\"gpu\":0}}]}";
    }

    static String route(String name, String prefix, int timeoutMillis, int priority, boolean advice) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"" + prefix + "\",\"kind\":\"unsafe\",\"timeout_ms\":"
            + timeoutMillis + ",\"target_duration_ms\":3000,\"priority\":" + priority + ",\"service\":\"board\",\"max_attempts\":3,"
            + "\"slack_factor\":4.0," + (advice ? "\"advice\":{\"decide_ms\":17.142857142857142,\"period_ms\":0.17,\"valid_ms\":2000}," : "")
            + "\"public\":false}";
    }

    /** Hands a job in until it is accepted, at the gateways by turns. */
    void submit(String id, String spec, String step) throws CannotRun {
        String body = "{\"spec\":" + Json.quote(spec) + ",\"steps\":[" + step + "]}";
        for (int i = 0; i < 100; i++) {
            Http.Response response = client("POST", id, body, i);
            trace.line("client: POST " + id + " (" + spec + ", " + step + "): " + shown(response));
            if (response != null && response.status() / 100 == 2) return;
            Minion.sleep(100);
        }
        throw new CannotRun("job " + id + " was not accepted");
    }

    /** One call of a client at a gateway; {@code id} is empty for the count of the queue. */
    Http.Response client(String method, String id, String body, int gateway) {
        String address = deployment.gateways.get(gateway % deployment.gateways.size()).address();
        return Http.call(address, method, "/jobs/" + id, HOST, KEY, body, 3_000);
    }

    String state(String id) {
        Http.Response response = null;
        for (int i = 0; i < 4 && (response == null || response.status() != 200); i++) response = client("GET", id, null, i);
        String shown = shown(response);
        trace.line("client: GET " + id + ": " + shown);
        return response != null && response.status() == 200 ? (String) Json.object(response.body()).get("state") : shown;
    }

    static String shown(Http.Response response) {
        return response == null ? "no answer" : response.status() + " " + response.body();
    }

    interface Condition {
        boolean holds() throws Exception;
    }

    /** Waits until {@code condition} holds; returns whether it did within {@code millis}. */
    static boolean await(long millis, Condition condition) throws Exception {
        long end = System.nanoTime() + millis * 1_000_000L;
        while (System.nanoTime() < end) {
            if (condition.holds()) return true;
            Minion.sleep(10);
        }
        return condition.holds();
    }

    static void require(boolean holds, String otherwise) throws CannotRun {
        if (!holds) throw new CannotRun(otherwise);
    }

    static String id(int number) {
        return String.format("%016x", 0x5eed0000L + number);
    }

    // Runs

    Minion minion(String id, int i, int cpu) throws Exception {
        return minion(id, i, cpu, "a");
    }

    /** Starts the minion called {@code id} of {@code kind} at address number {@code i}. */
    Minion minion(String id, int i, int cpu, String kind) throws Exception {
        return minion(id, i, cpu, kind, deployment.controlAddresses());
    }

    /** The same with {@code controls} as the addresses to which it sends its heartbeats, the first one first. */
    Minion minion(String id, int i, int cpu, String kind, List<String> controls) throws Exception {
        Minion minion = new Minion(id, deployment.minionAddress(i), cpu, kind, controls, this, trace);
        trace.line("minion started: " + minion + " at " + minion.address);
        return minion;
    }

    @Override
    public synchronized void started(Minion minion, String task, long run) {
        trace.line("START " + task + " run " + run + " on " + minion);
        startedTasks.add(task);
        Map<String, Long> runs = atWork.computeIfAbsent(task, t -> new LinkedHashMap<>());
        runs.put(minion.toString(), run);
        if (runs.size() > 1) {
            String overlap = task + " is at work twice: " + runs;
            overlaps.add(overlap);
            trace.line("TWICE " + overlap);
        }
    }

    @Override
    public synchronized void ended(Minion minion, String task, long run, String how) {
        trace.line("END " + task + " run " + run + " on " + minion + ": " + how);
        atWork.getOrDefault(task, new LinkedHashMap<>()).remove(minion.toString());
    }

    /** The first task that was at work on two minions at one time, or null. */
    synchronized String firstOverlap() {
        return overlaps.isEmpty() ? null : overlaps.get(0);
    }

    /** Whether any minion has ever started {@code task}. */
    synchronized boolean hasStarted(String task) {
        return startedTasks.contains(task);
    }

    synchronized boolean isAtWork(String task) {
        return !atWork.getOrDefault(task, Map.of()).isEmpty();
    }
}
