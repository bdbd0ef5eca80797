import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A minion as PROTOCOL describes it, for orders by call. A task's work time stands in its spec as "work=MILLIS". */
final class Minion {
    private static final long HOLD_MAX_MILLIS = 10_000;
    private static final long STOP_MILLIS = 50;

    private record Run(String task, long run, long endsAt) {}

    private record End(long number, String task, long run, String how) {}

    final String id;
    private final String address;
    private final String zone;
    private final String service;
    private final int cpu;
    private final String rack;
    private final Drill drill;
    private final long born = System.currentTimeMillis();
    private final long startedNanos = System.nanoTime();
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final List<End> ends = new ArrayList<>();
    private final Map<String, Long> lastRun = new LinkedHashMap<>();
    private final ExecutorService threads = Executors.newCachedThreadPool(Drill::daemon);
    private HttpServer server;
    private long token;
    private long deadline;
    private long lastEnd;
    private long beats;
    private int control;

    /** Whether it is without power: it runs nothing, says nothing and answers nothing. */
    private volatile boolean dark;

    Minion(Drill drill, String id, String address, String zone, String rack, String service, int cpu) {
        this.drill = drill;
        this.id = id;
        this.address = address;
        this.zone = zone;
        this.rack = rack;
        this.service = service;
        this.cpu = cpu;
    }

    void start() throws IOException {
        String ip = address.substring(0, address.lastIndexOf(':'));
        int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
        server = HttpServer.create(new InetSocketAddress(ip, port), 100);
        server.setExecutor(threads);
        server.createContext("/", this::serve);
        server.start();
        threads.execute(this::beatLoop);
        threads.execute(this::workLoop);
    }

    /** Loses power for good. */
    void goDark() {
        dark = true;
        synchronized (this) {
            drill.record("minion " + id + " is lost for good; it was running " + running.keySet());
            running.clear();
            ends.clear();
        }
    }

    synchronized int runningCount() {
        return running.size();
    }

    private long clock() {
        return (System.nanoTime() - startedNanos) / 1_000_000;
    }

    private void beatLoop() {
        while (!dark && !drill.over) {
            String body = "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"room\":{\"cpu\":" + cpu
                + ",\"mem_mb\":262144,\"gpu\":0},\"labels\":[\"a\",\"" + rack + "\"],\"clock_ms\":" + clock() + ",\"born\":" + born
                + ",\"call_seq\":" + ++beats + "}";
            for (int tries = 0; tries < drill.controls.size() && !dark; tries++) {
                String to = drill.controls.get(control % drill.controls.size()).controlAddress();
                Http.Response answer = Http.call(to, "PUT", "/rhubarbknot/instances/" + id, to, null, body, 1_000);
                if (answer != null && answer.status() / 100 == 2) break;
                control++;
            }
            Drill.sleep(Drill.HEARTBEAT_MILLIS);
        }
    }

    private void workLoop() {
        while (!dark && !drill.over) {
            synchronized (this) {
                long now = clock();
                boolean lapsed = now > deadline;
                for (Run run : new ArrayList<>(running.values())) {
                    if (lapsed) end(run, "lapsed");
                    else if (run.endsAt <= now) end(run, "done");
                }
            }
            Drill.sleep(10);
        }
    }

    private void end(Run run, String how) {
        if (!running.remove(run.task, run)) return;
        ends.add(new End(++lastEnd, run.task, run.run, how));
        lastRun.merge(run.task, run.run, Math::max);
        drill.record("minion " + id + ": " + run.task + " run " + run.run + " ended " + how);
        drill.ended(run.task, how);
        notifyAll();
    }

    private void serve(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        while (dark && !drill.over) Drill.sleep(50);
        if (dark) {
            exchange.close();
            return;
        }
        String expected = exchange.getRequestHeaders().getFirst("Expect-Instance");
        int[] status = {200};
        String answer;
        synchronized (this) {
            if (expected != null && !expected.equals(id)) {
                status[0] = 421;
                answer = "{}";
            } else {
                answer = answer(exchange.getRequestURI().getPath(), body, status);
            }
        }
        if (dark) {
            exchange.close();
            return;
        }
        byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().add("Content-Type", "application/json");
        exchange.sendResponseHeaders(status[0], bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private String answer(String path, String body, int[] status) {
        long given = number(body, "fencing_token", 0);
        if (given < token) return refused(status, "fence");
        token = given;
        long until = Math.min(number(body, "deadline_ms", 0), clock() + HOLD_MAX_MILLIS);
        switch (path) {
            case "/rhubarbknot/run-start":
                return started(body, until, status);
            case "/rhubarbknot/run-stop":
                return stopped(body);
            case "/rhubarbknot/hold":
                deadline = Math.max(deadline, until);
                long seen = number(body, "last_seen", 0);
                ends.removeIf(end -> end.number <= seen);
                waitForEnd(number(body, "wait_ms", 0));
                return lists();
            default:
                status[0] = 404;
                return "{}";
        }
    }

    private String started(String body, long until, int[] status) {
        String task = text(body, "task");
        long run = number(body, "run", 0);
        Run present = running.get(task);
        if (present != null && present.run == run) return clockOnly();
        if (present != null || run <= lastRun.getOrDefault(task, 0L)) {
            deadline = Math.max(deadline, until);
            return refused(status, "old");
        }
        if (until <= clock()) return refused(status, "late");
        deadline = Math.max(deadline, until);
        long work = number(body.replace("work=", "\"work\":"), "work", 500);
        running.put(task, new Run(task, run, clock() + work));
        drill.record("minion " + id + ": " + task + " run " + run + " started");
        drill.started(task);
        return clockOnly();
    }

    private String stopped(String body) {
        String task = text(body, "task");
        long number = number(body, "run", 0);
        lastRun.merge(task, number, Math::max);
        Run run = running.get(task);
        if (run != null && run.run <= number) {
            threads.execute(() -> {
                Drill.sleep(STOP_MILLIS);
                synchronized (this) {
                    end(run, "stopped");
                }
            });
        }
        return clockOnly();
    }

    private void waitForEnd(long millis) {
        long until = clock() + Math.min(millis, 2_000);
        while (ends.isEmpty() && clock() < until && !dark) {
            try {
                wait(Math.max(1, until - clock()));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private String lists() {
        StringBuilder text = new StringBuilder("{\"clock_ms\":" + clock() + ",\"born\":" + born + ",\"running\":[");
        String separator = "";
        for (Run run : running.values()) {
            // How much is done is left at 0 to 99 by time, as a sound minion reports it.
            long left = Math.max(0, run.endsAt - clock());
            text.append(separator).append("[\"").append(run.task).append("\",").append(run.run).append(",\"\",");
            text.append(Math.max(0, 99 - left / 100)).append(']');
            separator = ",";
        }
        text.append("],\"finished\":[");
        separator = "";
        for (End end : ends.subList(0, Math.min(500, ends.size()))) {
            text.append(separator).append('[').append(end.number).append(",\"").append(end.task).append("\",").append(end.run);
            text.append(",\"").append(end.how).append("\",\"\"]");
            separator = ",";
        }
        return text.append("]}").toString();
    }

    private String clockOnly() {
        return "{\"clock_ms\":" + clock() + ",\"born\":" + born + "}";
    }

    private String refused(int[] status, String reason) {
        status[0] = 409;
        return "{\"clock_ms\":" + clock() + ",\"born\":" + born + ",\"reason\":\"" + reason + "\"}";
    }

    static long number(String body, String name, long otherwise) {
        Matcher found = Pattern.compile("\"" + name + "\":(-?\\d+)").matcher(body);
        return found.find() ? Long.parseLong(found.group(1)) : otherwise;
    }

    static String text(String body, String name) {
        Matcher found = Pattern.compile("\"" + name + "\":\"([^\"]*)\"").matcher(body);
        return found.find() ? found.group(1) : "";
    }
}
