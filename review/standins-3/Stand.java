import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Stand-ins for the platform, the operator, clients and minions, shared by the scripts of the third review. */
public class Stand {
    /** The case could not run. */
    static class CannotRun extends RuntimeException {
        CannotRun(String text) {
            super(text);
        }
    }

    static final long ORIGIN = System.nanoTime();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static PrintWriter record;

    /** Writes one line to record.txt, with the seconds since the start. */
    static synchronized void note(String text) {
        String line = String.format("%8.3f %s", seconds(), text);
        record.println(line);
        record.flush();
    }

    static double seconds() {
        return (System.nanoTime() - ORIGIN) / 1e9;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new CannotRun("interrupted");
        }
    }

    // JSON

    /** Reads JSON into maps, lists, strings, longs, doubles and booleans. */
    static class Json {
        final String s;
        int p;

        Json(String s) {
            this.s = s;
        }

        static Object read(String s) {
            return new Json(s).value();
        }

        @SuppressWarnings("unchecked")
        static Map<String, Object> object(byte[] body) {
            return (Map<String, Object>) read(new String(body, StandardCharsets.UTF_8));
        }

        char skip() {
            while (Character.isWhitespace(s.charAt(p))) p++;
            return s.charAt(p);
        }

        Object value() {
            char c = skip();
            if (c == '{') {
                Map<String, Object> map = new LinkedHashMap<>();
                p++;
                while (skip() != '}') {
                    if (s.charAt(p) == ',') p++;
                    skip();
                    String name = string();
                    skip();
                    p++;
                    map.put(name, value());
                }
                p++;
                return map;
            }
            if (c == '[') {
                List<Object> list = new ArrayList<>();
                p++;
                while (skip() != ']') {
                    if (s.charAt(p) == ',') p++;
                    list.add(value());
                }
                p++;
                return list;
            }
            if (c == '"') return string();
            int from = p;
            while (p < s.length() && ",]} \n\r\t".indexOf(s.charAt(p)) < 0) p++;
            String word = s.substring(from, p);
            if (word.equals("true") || word.equals("false")) return Boolean.valueOf(word);
            if (word.equals("null")) return null;
            return word.matches("-?\\d+") ? (Object) Long.valueOf(word) : Double.valueOf(word);
        }

        String string() {
            StringBuilder out = new StringBuilder();
            p++;
            while (s.charAt(p) != '"') {
                char c = s.charAt(p++);
                if (c != '\\') {
                    out.append(c);
                    continue;
                }
                char e = s.charAt(p++);
                if (e == 'u') {
                    out.append((char) Integer.parseInt(s.substring(p, p + 4), 16));
                    p += 4;
                } else {
                    out.append(e == 'n' ? '\n' : e == 't' ? '\t' : e == 'r' ? '\r' : e == 'b' ? '\b' : e == 'f' ? '\f' : e);
                }
            }
            p++;
            return out.toString();
        }
    }

    static String quote(String s) {
        return "\"" + s.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
    }

    // Processes of the system

    /** The processes of a small deployment: each machine has a loopback address of its own, as on the platform. */
    static class Deployment {
        final Path root = Path.of("").toAbsolutePath();
        final Path temp;
        final Map<String, Process> processes = new ConcurrentHashMap<>();
        final int peerPort;
        final int controlPort;
        final int frontPort;
        final int readyPort;
        final int metricsPort;
        final int controls;
        final List<Integer> fronts;
        final String net;

        Deployment(int controls, int fronts) throws IOException {
            this.controls = controls;
            this.fronts = new ArrayList<>();
            for (int i = 0; i < fronts; i++) this.fronts.add(51 + i);
            temp = Files.createTempDirectory("review-3-");
            int[] ports = freePorts(5);
            peerPort = ports[0];
            controlPort = ports[1];
            frontPort = ports[2];
            readyPort = ports[3];
            metricsPort = ports[4];
            net = "127." + (1 + (int) (ProcessHandle.current().pid() % 200)) + "." + (1 + (int) (System.nanoTime() / 1000 % 200)) + ".";
            Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        }

        static int[] freePorts(int count) throws IOException {
            ServerSocket[] sockets = new ServerSocket[count];
            int[] ports = new int[count];
            for (int i = 0; i < count; i++) {
                sockets[i] = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                ports[i] = sockets[i].getLocalPort();
            }
            for (ServerSocket s : sockets) s.close();
            return ports;
        }

        String ip(int host) {
            return net + host;
        }

        /** Number of the first control node of those that are there now. */
        volatile int first;

        /** The address of the n-th control node that was ever started, counted from 0. */
        String control(int n) {
            return ip(11 + n) + ":" + controlPort;
        }

        /** The address of one of the control nodes that are there now; any number stands for one of them. */
        String anyControl(int n) {
            return control(first + n % controls);
        }

        String front(int n) {
            return ip(fronts.get(n)) + ":" + frontPort;
        }

        /** The command of a role in the deploy file. */
        List<String> command(String role) throws IOException {
            String text = Files.readString(root.resolve("deploy/system.toml"));
            String section = text.substring(text.indexOf("[roles." + role + "]"));
            int from = section.indexOf("run = \"") + 7;
            return List.of(section.substring(from, section.indexOf('"', from)).split(" "));
        }

        /** Settings as deploy/settings.json.template renders them, with the bounds of the site kaki-sahel. */
        String settings(String name, String role, String ip, String zone, List<String> seeds, boolean bootstrap, Path data) {
            StringBuilder s = new StringBuilder("{");
            s.append("\"node\":").append(quote(name)).append(",\"ip\":").append(quote(ip));
            s.append(",\"zone\":").append(quote(zone)).append(",\"peerPort\":").append(peerPort);
            if (role.equals("gateway")) {
                s.append(",\"callersAddress\":").append(quote(ip + ":" + frontPort));
                s.append(",\"readinessAddress\":").append(quote(ip + ":" + readyPort));
            } else {
                s.append(",\"controlAddress\":").append(quote(ip + ":" + controlPort));
                s.append(",\"dataFolder\":").append(quote(data.toString()));
            }
            s.append(",\"metricsAddress\":").append(quote(ip + ":" + metricsPort)).append(",\"controlSeeds\":[");
            for (int i = 0; i < seeds.size(); i++) s.append(i > 0 ? "," : "").append(quote(seeds.get(i)));
            s.append("],\"firstStart\":").append(bootstrap).append(",\"lossesToBear\":1,\"longestLeaseMillis\":10000,\"stopMillis\":900");
            s.append(",\"roomGraceMillis\":3000,\"reportIntervalMillis\":1500,\"graceSeconds\":6,\"catchUpSeconds\":4,\"orders\":\"call\"}");
            return s.toString();
        }

        List<String> seeds() {
            List<String> seeds = new ArrayList<>();
            for (int i = 0; i < Math.min(3, controls); i++) seeds.add(anyControl(i));
            return seeds;
        }

        void startControl(int n, boolean bootstrap) throws IOException {
            Path data = temp.resolve("data-" + n);
            Files.createDirectories(data);
            start("core-" + n, "control", ip(11 + n), "z" + n % 3, seeds(), bootstrap, data);
        }

        void startFront(int n) throws IOException {
            start("front-" + n, "gateway", ip(fronts.get(n)), "z" + n % 3, seeds(), true, null);
        }

        void start(String name, String role, String ip, String zone, List<String> seeds, boolean bootstrap, Path data) throws IOException {
            Path file = temp.resolve(name + ".json");
            Files.writeString(file, settings(name, role, ip, zone, seeds, bootstrap, data));
            ProcessBuilder builder = new ProcessBuilder(command(role)).directory(root.toFile());
            builder.environment().put("RHUBARBKNOT_BOOT", file.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(temp.resolve(name + ".log").toFile()));
            processes.put(name, builder.start());
            note("start " + name + " (" + role + ")");
        }

        void startAll() throws IOException {
            for (int i = 0; i < controls; i++) startControl(i, true);
            for (int i = 0; i < fronts.size(); i++) startFront(i);
        }

        void kill(String name) {
            Process process = processes.remove(name);
            if (process == null) return;
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                throw new CannotRun("interrupted");
            }
            note("SIGKILL " + name);
        }

        /** Asks a process to end, and kills it after grace_s, as the platform does. */
        void terminate(String name) throws InterruptedException {
            Process process = processes.remove(name);
            process.destroy();
            note("SIGTERM " + name);
            if (!process.waitFor(6, TimeUnit.SECONDS)) process.destroyForcibly();
            note("ended " + name);
        }

        /** Names of the processes that have ended by themselves. */
        List<String> ended() {
            List<String> ended = new ArrayList<>();
            processes.forEach((name, process) -> {
                if (!process.isAlive()) ended.add(name + " exit " + process.exitValue());
            });
            return ended;
        }

        synchronized void close() {
            processes.values().forEach(Process::destroyForcibly);
            processes.clear();
            String keep = System.getenv("KEEP");
            if (keep != null) {
                System.err.println("kept " + temp);
                return;
            }
            try (var files = Files.walk(temp)) {
                files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
            } catch (IOException | java.io.UncheckedIOException e) {
                // Another thread has removed it already.
            }
        }
    }

    // HTTP calls

    static final HttpClient HTTP = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofMillis(1000)).build();

    static class Answer {
        final int status;
        final String body;

        Answer(int status, String body) {
            this.status = status;
            this.body = body;
        }
    }

    /** Sends one request; status 0 stands for no response. */
    static Answer call(String address, String method, String path, String body, long timeoutMillis, String... headers) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(Duration.ofMillis(timeoutMillis));
        request.method(method, body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body));
        if (body != null) request.header("Content-Type", "application/json");
        for (int i = 0; i < headers.length; i += 2) request.header(headers[i], headers[i + 1]);
        try {
            HttpResponse<String> response = HTTP.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), response.body());
        } catch (IOException e) {
            return new Answer(0, e.toString());
        } catch (InterruptedException e) {
            throw new CannotRun("interrupted");
        }
    }

    /** Sends an order of the operator to one node after the other until it is acknowledged, for at most the given time. */
    static int order(Deployment d, String method, String path, String body, long forMillis) {
        long until = System.nanoTime() + forMillis * 1_000_000;
        int n = 0;
        while (System.nanoTime() < until) {
            Answer answer = call(d.anyControl(n++), method, path, body, 1_000);
            if (answer.status >= 200 && answer.status < 300 || answer.status == 400) {
                note("operator " + method + " " + path + " -> " + answer.status);
                return answer.status;
            }
            sleep(200);
        }
        throw new CannotRun(method + " " + path + " was not acknowledged");
    }

    static final String HOST = "work.example";
    static final String PREFIX = "/jobs/";
    static final String KEY = "k3y0fth3t3n4nt00";
    static final String SERVICE = "board";

    static String configuration(long version, int priority, int attempts) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-jobs\",\"host\":\"" + HOST + "\",\"path_prefix\":\"" + PREFIX + "\","
            + "\"kind\":\"unsafe\",\"timeout_ms\":3000,\"target_duration_ms\":1000,\"priority\":" + priority + ",\"service\":\"" + SERVICE + "\","
            + "\"max_attempts\":" + attempts + ",\"slack_factor\":2.2,\"public\":false}],"
            + "\"services\":[{\"name\":\"" + SERVICE + "\",\"health_path\":\"/healthz\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,"
            + "\"cold_start_s\":0.0,\"cold_per_s\":0.0,\"admission_check\":false,\"standby\":false}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
            + "\"tenants\":[{\"name\":\"t-one\",\"api_keys\":[\"" + KEY + "\"],\"priority\":1,\"weight\":19,"
            + "\"cap\":{\"cpu\":0,\"mem_mb\":0,\"gpu\":0}}]}";
    }

    /** A client's call at a gateway. */
    static Answer client(Deployment d, int front, String method, String id, String body, long timeoutMillis) {
        return call(d.front(front), method, PREFIX + id, body, timeoutMillis, "Host", HOST, "Authorization", "Bearer " + KEY, "Deadline-Ms", "" + timeoutMillis);
    }

    /** Submits a job until it is accepted, as clients do. */
    static void submit(Deployment d, String id, String body, long forMillis) {
        long until = System.nanoTime() + forMillis * 1_000_000;
        int n = 0;
        while (System.nanoTime() < until) {
            Answer answer = client(d, n++ % d.fronts.size(), "POST", id, body, 3_000);
            note("client POST " + id + " -> " + answer.status + (answer.status == 200 ? "" : " " + answer.body));
            if (answer.status >= 200 && answer.status < 300) return;
            sleep(300);
        }
        throw new CannotRun("job " + id + " was not accepted");
    }

    static String state(Deployment d, String id) {
        Answer answer = client(d, 0, "GET", id, null, 3_000);
        if (answer.status != 200) return "" + answer.status;
        return "" + Json.object(answer.body.getBytes(StandardCharsets.UTF_8)).get("state");
    }

    // Minions

    /** How a minion treats an order; the default answers it at once. */
    interface Manners {
        /** Whether the order gets no answer; called before it is carried out. */
        default boolean leavesUnanswered(Minion minion, String path, Map<String, Object> order) {
            return false;
        }

        /** The status with which an unhealthy minion turns the order away, or 0; it has then done nothing. */
        default int turnsAway(Minion minion, String path, Map<String, Object> order) {
            return 0;
        }
    }

    static final Manners SOUND = new Manners() { };

    /** One machine with its minion; each start of the minion is a new life under the same id and at the same address. */
    static class Minion {
        static final long HOLD_MAX = 10_000;
        final Deployment d;
        final String id;
        final String ip;
        final int port;
        final long cpu;
        final String label;
        final Manners manners;
        volatile Life life;
        volatile long taskMillis;

        /** How long a stop takes; while it lasts, the run is still listed as running. */
        volatile long stopMillis;

        /** Whether its tasks stand still: they run, but make no progress and don't end. */
        volatile boolean standsStill;

        /** Tasks of jobs whose id begins so fail by themselves, this long after their start; null for none. */
        volatile String failingJobs;
        volatile long failsAfterMillis;

        /** Tasks of jobs whose id begins so run until they are stopped; null for none. */
        volatile String lastingJobs;

        /** Tasks of jobs whose id begins so take this long; null for none. */
        volatile String longJobs;
        volatile long longMillis;

        /** How many runs have ended how, by the first four letters of their jobs. */
        final Map<String, Integer> ends = new ConcurrentHashMap<>();

        /** Whether starts and ends are not noted one by one. */
        volatile boolean quiet;

        Minion(Deployment d, int host, String id, long cpu, String label, long taskMillis, Manners manners) throws IOException {
            this.d = d;
            this.id = id;
            this.ip = d.ip(host);
            this.port = Deployment.freePorts(1)[0];
            this.cpu = cpu;
            this.label = label;
            this.taskMillis = taskMillis;
            this.manners = manners;
        }

        /** Starts a life whose machine's time of day is off by the given milliseconds. */
        Life start(long clockOffMillis) throws IOException {
            life = new Life(this, System.currentTimeMillis() + clockOffMillis);
            return life;
        }

        /** The process dies: what ran is gone, and connections break. */
        void crash() {
            Life old = life;
            life = null;
            if (old != null) old.end("crash");
        }

        boolean holds(String task) {
            Life now = life;
            return now != null && now.holds(task);
        }

        boolean isRunning(String task) {
            Life now = life;
            return now != null && now.runs(task);
        }
    }

    static class Run {
        final String task;
        final long run;
        final long millis;
        final long endsAt;
        final boolean fails;

        Run(String task, long run, long now, long millis, boolean fails) {
            this.task = task;
            this.run = run;
            this.millis = millis;
            this.endsAt = now + millis;
            this.fails = fails;
        }

        /** How much of its work is done. */
        long percent(long now) {
            return Math.max(0, Math.min(99, 100 - Math.max(0, endsAt - now) * 100 / Math.max(1, millis)));
        }
    }

    static class Life {
        /** Some days. */
        static final long LASTING_MILLIS = 1_000_000_000;
        final Minion minion;
        final long born;
        final long origin = System.nanoTime();
        final HttpServer server;
        final Map<String, Run> running = new LinkedHashMap<>();

        /** Runs that are being stopped, with the time at which they will have ended. */
        final Map<Run, Long> stopping = new LinkedHashMap<>();
        final Map<String, Long> over = new LinkedHashMap<>();
        final List<Object[]> finished = new ArrayList<>();
        volatile String state = "ready";
        volatile boolean ended;
        volatile long drainAckedAt;
        long fence;
        long deadline = Long.MIN_VALUE;
        long lastEnd;
        long callSeq;

        Life(Minion minion, long born) throws IOException {
            this.minion = minion;
            this.born = born;
            server = HttpServer.create(new InetSocketAddress(minion.ip, minion.port), 64);
            server.setExecutor(Executors.newCachedThreadPool(r -> {
                Thread t = new Thread(r);
                t.setDaemon(true);
                return t;
            }));
            server.createContext("/", this::handle);
            server.start();
            note("minion " + minion.id + " up, born " + born);
            thread(this::beats);
            thread(this::work);
        }

        void thread(Runnable body) {
            Thread t = new Thread(body);
            t.setDaemon(true);
            t.start();
        }

        long clock() {
            return (System.nanoTime() - origin) / 1_000_000;
        }

        synchronized boolean runs(String task) {
            return running.containsKey(task);
        }

        /** Whether a run of the task is there, be it that it is being stopped. */
        synchronized boolean holds(String task) {
            return running.containsKey(task) || stopping.keySet().stream().anyMatch(r -> r.task.equals(task));
        }

        void end(String how) {
            synchronized (this) {
                ended = true;
                note("minion " + minion.id + " " + how + ", loses " + running.keySet());
                running.clear();
                notifyAll();
            }
            server.stop(0);
        }

        void beats() {
            int node = Math.floorMod(minion.id.hashCode(), minion.d.controls);
            while (!ended) {
                String body = "{\"service\":\"" + SERVICE + "\",\"address\":\"" + minion.ip + ":" + minion.port + "\",\"zone\":\"z0\",\"version\":\"v1\","
                    + "\"slots\":8,\"state\":\"" + state + "\",\"cold_remaining_ms\":0,\"room\":{\"cpu\":" + minion.cpu + ",\"mem_mb\":32768,\"gpu\":0},"
                    + "\"labels\":[\"" + minion.label + "\",\"r1-1\"],\"clock_ms\":" + clock() + ",\"born\":" + born + ",\"call_seq\":" + ++callSeq
                    + ("draining".equals(state) ? ",\"remaining_ms\":4000" : "") + "}";
                boolean drains = state.equals("draining");
                Answer answer = call(minion.d.anyControl(node), "PUT", "/rhubarbknot/instances/" + minion.id, body, 1_000);
                if (answer.status < 200 || answer.status > 299) {
                    node++;
                    sleep(50);
                    continue;
                }
                if (drains && drainAckedAt == 0) {
                    drainAckedAt = System.nanoTime();
                    note("minion " + minion.id + " draining acknowledged");
                }
                for (int i = 0; i < 30 && !ended && state.equals("draining") == drains; i++) sleep(50);
            }
        }

        /** Ends runs whose time is over, and all of them when the lease is. */
        void work() {
            while (!ended) {
                synchronized (this) {
                    long now = clock();
                    for (Run run : new ArrayList<>(running.values())) {
                        if (now >= run.endsAt && !minion.standsStill) finish(run, run.fails ? "failed" : "done");
                        else if (now > deadline) finish(run, "lapsed");
                    }
                    for (Map.Entry<Run, Long> stop : new ArrayList<>(stopping.entrySet())) {
                        if (now < stop.getValue()) continue;
                        stopping.remove(stop.getKey());
                        finish(stop.getKey(), "stopped");
                    }
                }
                sleep(10);
            }
        }

        void finish(Run run, String how) {
            running.remove(run.task, run);
            over.merge(run.task, run.run, Math::max);
            finished.add(new Object[] {++lastEnd, run.task, run.run, how});
            if (!minion.quiet) note("minion " + minion.id + " task " + run.task + " run " + run.run + " " + how);
            minion.ends.merge(run.task.substring(0, 4) + " " + how, 1, Integer::sum);
            notifyAll();
        }

        void handle(HttpExchange exchange) throws IOException {
            try (exchange) {
                byte[] body = exchange.getRequestBody().readAllBytes();
                String expected = exchange.getRequestHeaders().getFirst("Expect-Instance");
                String path = exchange.getRequestURI().getPath();
                if (expected != null && !expected.equals(minion.id)) {
                    answer(exchange, 421, "{\"clock_ms\":" + clock() + "}");
                    return;
                }
                Map<String, Object> order = Json.object(body);
                if (minion.manners.leavesUnanswered(minion, path, order)) {
                    // The caller gives up first.
                    sleep(5_000);
                    return;
                }
                int refusal = minion.manners.turnsAway(minion, path, order);
                if (refusal > 0) {
                    note("minion " + minion.id + " turns " + path + " of " + order.get("task") + " away with " + refusal);
                    answer(exchange, refusal, "{\"clock_ms\":" + clock() + "}");
                } else if (path.endsWith("/run-start")) start(exchange, order);
                else if (path.endsWith("/run-stop")) stop(exchange, order);
                else if (path.endsWith("/hold")) hold(exchange, order);
                else answer(exchange, 404, "{}");
            }
        }

        static long number(Map<String, Object> order, String name) {
            Object value = order.get(name);
            return value == null ? 0 : (Long) value;
        }

        synchronized boolean fenced(Map<String, Object> order) {
            long token = number(order, "fencing_token");
            if (token < fence) return true;
            fence = token;
            return false;
        }

        void extend(Map<String, Object> order) {
            if (order.containsKey("deadline_ms")) deadline = Math.max(deadline, Math.min(number(order, "deadline_ms"), clock() + Minion.HOLD_MAX));
        }

        synchronized void start(HttpExchange exchange, Map<String, Object> order) throws IOException {
            String task = (String) order.get("task");
            long run = number(order, "run");
            if (ended) return;
            String reason = null;
            if (fenced(order)) {
                reason = "fence";
            } else if (!(running.containsKey(task) && running.get(task).run == run)) {
                if (run <= over.getOrDefault(task, 0L)) {
                    extend(order);
                    reason = "old";
                } else if (number(order, "deadline_ms") < clock()) {
                    reason = "late";
                } else {
                    extend(order);
                    boolean fails = minion.failingJobs != null && task.startsWith(minion.failingJobs);
                    boolean lasts = minion.lastingJobs != null && task.startsWith(minion.lastingJobs);
                    boolean takesLong = minion.longJobs != null && task.startsWith(minion.longJobs);
                    long millis = fails ? minion.failsAfterMillis : lasts ? LASTING_MILLIS : takesLong ? minion.longMillis : minion.taskMillis;
                    running.put(task, new Run(task, run, clock(), millis, fails));
                    if (!minion.quiet) note("minion " + minion.id + " starts task " + task + " run " + run + (state.equals("draining") ? " while draining" : ""));
                }
            }
            if (reason == null) answer(exchange, 200, "{\"clock_ms\":" + clock() + "}");
            else answer(exchange, 409, "{\"clock_ms\":" + clock() + ",\"reason\":\"" + reason + "\"}");
        }

        synchronized void stop(HttpExchange exchange, Map<String, Object> order) throws IOException {
            String task = (String) order.get("task");
            long run = number(order, "run");
            if (fenced(order)) {
                answer(exchange, 409, "{\"clock_ms\":" + clock() + ",\"reason\":\"fence\"}");
                return;
            }
            Run now = running.get(task);
            if (now != null && now.run <= run) {
                running.remove(task);
                stopping.put(now, clock() + minion.stopMillis);
                note("minion " + minion.id + " is told to stop task " + task + " run " + run + ", which takes " + minion.stopMillis + " ms");
            }
            over.merge(task, run, Math::max);
            answer(exchange, 200, "{\"clock_ms\":" + clock() + "}");
        }

        void hold(HttpExchange exchange, Map<String, Object> order) throws IOException {
            StringBuilder out = new StringBuilder();
            synchronized (this) {
                if (ended) return;
                if (fenced(order)) {
                    answer(exchange, 409, "{\"clock_ms\":" + clock() + ",\"reason\":\"fence\"}");
                    return;
                }
                long seen = number(order, "last_seen");
                finished.removeIf(e -> (Long) e[0] <= seen);
                extend(order);
                long until = clock() + number(order, "wait_ms");
                while (!ended && finished.isEmpty() && clock() < until) {
                    try {
                        wait(Math.max(1, until - clock()));
                    } catch (InterruptedException e) {
                        return;
                    }
                }
                if (ended) return;
                out.append("{\"clock_ms\":").append(clock()).append(",\"born\":").append(born).append(",\"running\":[");
                int n = 0;
                List<Run> listed = new ArrayList<>(running.values());
                listed.addAll(stopping.keySet());
                for (Run run : listed) {
                    out.append(n++ > 0 ? "," : "").append("[\"").append(run.task).append("\",").append(run.run).append(",\"\",");
                    out.append(minion.standsStill ? 10 : run.percent(clock())).append(",100]");
                }
                out.append("],\"finished\":[");
                n = 0;
                for (Object[] e : finished) {
                    out.append(n++ > 0 ? "," : "").append("[").append(e[0]).append(",\"").append(e[1]).append("\",").append(e[2]);
                    out.append(",\"").append(e[3]).append("\",\"\"]");
                }
                out.append("]}");
            }
            answer(exchange, 200, out.toString());
        }

        void answer(HttpExchange exchange, int status, String body) throws IOException {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        }
    }

    // Cases

    interface Case {
        /** Returns whether the rule held. */
        boolean run(Deployment d) throws Exception;
    }

    static void play(String folder, int controls, int fronts, Case body) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")));
        int status = 2;
        try {
            Deployment d = new Deployment(controls, fronts);
            try {
                note(TROUBLE ? "with the disruption" : "without the disruption (TROUBLE=0)");
                boolean held = body.run(d);
                note(held ? "the rule held" : "the rule was broken");
                status = held ? 0 : 1;
            } finally {
                d.close();
            }
        } catch (Exception e) {
            note("the case could not run: " + e);
        }
        record.close();
        Runtime.getRuntime().halt(status);
    }
}
