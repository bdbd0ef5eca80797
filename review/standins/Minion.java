import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * One life of a minion as PROTOCOL.md describes it: fencing tokens, leases on its own clock, run numbers, numbered ends that are
 * listed until they are acknowledged, and heartbeats. The spec of a job says what its tasks do: "work MS" ends done after MS
 * milliseconds, "fail MS" ends failed, "serve" goes on until it is stopped.
 */
final class Minion implements AutoCloseable {
    /** Sees each start and end, whatever the minion. */
    interface Observer {
        void started(Minion minion, String task, long run);

        void ended(Minion minion, String task, long run, String how);
    }

    private static final class Run {
        long number;
        long endsAt;
        String how;
    }

    private static final long HEARTBEAT_MILLIS = 1_500;
    private static final long MAX_LEASE_MILLIS = 10_000;
    private static final long GREY_RUN_MILLIS = 100;

    final String id;
    final String address;
    final long born = System.currentTimeMillis();
    private final long bornNanos = System.nanoTime();
    private final int cpu;
    private final String kind;
    private final List<String> controls;
    private final Observer observer;
    private final Trace trace;
    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(r -> {
        Thread t = new Thread(r);
        t.setDaemon(true);
        return t;
    });
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final List<Object[]> ended = new ArrayList<>();
    private final Map<String, Long> highestRuns = new HashMap<>();
    private long lastEnd;
    private long token;
    private long leaseEnd;
    private long sequence;
    private int nextControl;
    private volatile boolean over;
    private volatile boolean draining;
    /** While set, orders get no answer and do nothing, as behind a cut link; heartbeats get through unless they are cut as well. */
    volatile boolean ordersCut;
    volatile boolean heartbeatsCut;
    /** While set, the minion fails all that it starts, though its health is good. */
    volatile boolean grey;

    Minion(String id, String address, int cpu, String kind, List<String> controls, Observer observer, Trace trace) throws IOException {
        this.id = id;
        this.address = address;
        this.cpu = cpu;
        this.kind = kind;
        this.controls = new ArrayList<>(controls);
        this.observer = observer;
        this.trace = trace;
        server = HttpServer.create(Http.socketAddress(address), 0);
        server.createContext("/", this::serve);
        server.setExecutor(threads);
        server.start();
        threads.execute(this::tickLoop);
        threads.execute(this::heartbeatLoop);
    }

    long clock() {
        return (System.nanoTime() - bornNanos) / 1_000_000;
    }

    /** Ends this life at once; what runs on it ends with it. */
    @Override
    public synchronized void close() {
        if (over) return;
        over = true;
        server.stop(0);
        new ArrayList<>(running.keySet()).forEach(task -> observer.ended(this, task, running.remove(task).number, "ended with its minion"));
        threads.shutdownNow();
    }

    /** Reports that the minion drains and waits for the acknowledgement. */
    boolean drain() {
        draining = true;
        return heartbeat();
    }

    /**
     * Says that the minion leaves, to the nodes at {@code addresses} by turns until one answers within a second, and ends. Returns the
     * number of calls.
     */
    int leave(List<String> addresses) {
        int calls = 0;
        Http.Response response = null;
        while (response == null && calls < 4) {
            String to = addresses.get(calls++ % addresses.size());
            response = Http.call(to, "DELETE", "/rhubarbknot/instances/" + id, null, null, null, 1_000);
            trace.line("minion " + this + ": DELETE instances/" + id + " to " + to + ": " + Scenario.shown(response));
        }
        close();
        trace.line("minion ended: " + this);
        return calls;
    }

    synchronized boolean isRunning(String task) {
        return running.containsKey(task);
    }

    synchronized int runningCount() {
        return running.size();
    }

    // Heartbeats

    private void heartbeatLoop() {
        while (!over) {
            if (!heartbeatsCut) heartbeat();
            sleep(HEARTBEAT_MILLIS);
        }
    }

    /** A heartbeat to the first node that acknowledges it within a second. */
    private boolean heartbeat() {
        for (int i = 0; i < controls.size() && !over; i++) {
            String control = controls.get(nextControl % controls.size());
            Http.Response response = Http.call(control, "PUT", "/rhubarbknot/instances/" + id, null, null, report(), 1_000);
            if (response != null && response.status() / 100 == 2) return true;
            nextControl++;
        }
        return false;
    }

    private synchronized String report() {
        return "{\"service\":\"board\",\"address\":\"" + address + "\",\"zone\":\"za\",\"version\":\"v1\",\"slots\":8,\"state\":\""
            + (draining ? "draining" : "ready") + "\",\"cold_remaining_ms\":0,\"room\":{\"cpu\":" + cpu
            + ",\"mem_mb\":65536,\"gpu\":0},\"labels\":[\"" + kind + "\",\"r1\"],\"born\":" + born + ",\"clock_ms\":" + clock() + ",\"call_seq\":"
            + ++sequence + "}";
    }

    // Orders

    private void serve(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        if (over || ordersCut) return;
        String expected = exchange.getRequestHeaders().getFirst("Expect-Instance");
        if (path.equals("/healthz")) {
            answer(exchange, 200, "{}");
        } else if (expected != null && !expected.equals(id)) {
            answer(exchange, 421, "{\"clock_ms\":" + clock() + "}");
        } else {
            order(exchange, path, Json.object(body));
        }
    }

    private void order(HttpExchange exchange, String path, Map<String, Object> fields) throws IOException {
        String refusal;
        synchronized (this) {
            refusal = take(path, fields);
        }
        if (refusal != null) {
            answer(exchange, 409, "{\"clock_ms\":" + clock() + ",\"reason\":\"" + refusal + "\"}");
        } else if (path.equals("/rhubarbknot/hold")) {
            long seen = number(fields, "last_seen");
            long waitEnd = clock() + Math.min(2_000, number(fields, "wait_ms"));
            while (clock() < waitEnd && !hasEndAfter(seen) && !over) sleep(5);
            if (!over && !ordersCut) answer(exchange, 200, lists(seen));
        } else {
            answer(exchange, 200, "{\"clock_ms\":" + clock() + "}");
        }
    }

    /** Carries out an order as it arrives; returns the reason if it is refused. */
    synchronized String take(String path, Map<String, Object> fields) {
        tick();
        long fence = number(fields, "fencing_token");
        if (fence < token) return "fence";
        token = fence;
        long deadline = Math.min(number(fields, "deadline_ms"), clock() + MAX_LEASE_MILLIS);
        if (path.equals("/rhubarbknot/run-start")) return start(fields, deadline);
        leaseEnd = Math.max(leaseEnd, deadline);
        if (path.equals("/rhubarbknot/run-stop")) stop((String) fields.get("task"), number(fields, "run"));
        return null;
    }

    private String start(Map<String, Object> fields, long deadline) {
        String task = (String) fields.get("task");
        long number = number(fields, "run");
        Run present = running.get(task);
        if (present != null && present.number == number) return null;
        if (deadline < clock()) return "late";
        leaseEnd = Math.max(leaseEnd, deadline);
        if (present != null || number <= highestRuns.getOrDefault(task, 0L)) return "old";
        String[] words = ((String) fields.get("spec")).split(" ");
        Run run = new Run();
        run.number = number;
        run.how = words[0].equals("fail") ? "failed" : "done";
        run.endsAt = words[0].equals("serve") ? Long.MAX_VALUE : clock() + Long.parseLong(words[1]);
        if (grey) {
            run.how = "failed";
            run.endsAt = clock() + GREY_RUN_MILLIS;
        }
        running.put(task, run);
        observer.started(this, task, number);
        return null;
    }

    private void stop(String task, long number) {
        highestRuns.merge(task, number, Math::max);
        Run run = running.get(task);
        if (run != null && run.number <= number) end(task, "stopped");
    }

    private void end(String task, String how) {
        Run run = running.remove(task);
        highestRuns.merge(task, run.number, Math::max);
        ended.add(new Object[] {++lastEnd, task, run.number, how});
        observer.ended(this, task, run.number, how);
    }

    private synchronized boolean hasEndAfter(long seen) {
        return ended.stream().anyMatch(e -> (Long) e[0] > seen);
    }

    private synchronized String lists(long seen) {
        tick();
        ended.removeIf(e -> (Long) e[0] <= seen);
        StringBuilder out = new StringBuilder("{\"clock_ms\":" + clock() + ",\"born\":" + born + ",\"running\":[");
        String comma = "";
        for (Map.Entry<String, Run> e : running.entrySet()) {
            long percent = Math.max(0, Math.min(99, 100 - (e.getValue().endsAt - clock()) / 100));
            out.append(comma).append("[\"").append(e.getKey()).append("\",").append(e.getValue().number).append(",\"\",");
            out.append(e.getValue().endsAt == Long.MAX_VALUE ? 100 : percent).append(",0]");
            comma = ",";
        }
        out.append("],\"finished\":[");
        comma = "";
        for (Object[] e : ended.subList(0, Math.min(500, ended.size()))) {
            out.append(comma).append("[").append(e[0]).append(",\"").append(e[1]).append("\",").append(e[2]).append(",\"").append(e[3]);
            out.append("\",\"\"]");
            comma = ",";
        }
        return out.append("]}").toString();
    }

    private void tickLoop() {
        while (!over) {
            synchronized (this) {
                tick();
            }
            sleep(5);
        }
    }

    private void tick() {
        if (over) return;
        if (clock() > leaseEnd) new ArrayList<>(running.keySet()).forEach(task -> end(task, "lapsed"));
        new ArrayList<>(running.keySet()).stream().filter(t -> running.get(t).endsAt <= clock()).forEach(t -> end(t, running.get(t).how));
    }

    private static void answer(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private static long number(Map<String, Object> fields, String name) {
        return fields.get(name) instanceof Long n ? n : 0;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public String toString() {
        return id + " (born " + born + ")";
    }
}
