import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The platform, the operator and the clients of a small deployment on loopback addresses. It starts gateway and control with the
 * commands of deploy/system.toml and settings as deploy/settings.json.template renders them, one address a machine.
 */
final class Drill {
    static final long HEARTBEAT_MILLIS = 1_500;
    private static final long RESTART_MILLIS = 500;
    static final String[] ZONES = {"msaken", "kalaa", "jemmal"};
    private static final int[] PORTS = new int[6];

    final List<Node> controls = new ArrayList<>();
    final List<Node> gateways = new ArrayList<>();
    final List<Minion> minions = new ArrayList<>();
    final Path folder;
    private final List<String> lines = new ArrayList<>();
    private final long startedNanos = System.nanoTime();
    private final String network;
    private final Map<String, String> commands = new LinkedHashMap<>();
    private final Map<String, Long> startedAt = new LinkedHashMap<>();
    private final Map<String, Long> doneAt = new LinkedHashMap<>();
    volatile boolean over;

    /** A machine of the system and the process on it. */
    final class Node {
        final String name;
        final String role;
        final String ip;
        final String zone;
        final Path log;
        private final Path data;
        private Process process;
        private boolean wanted;
        private boolean startedOnce;
        int ownEnds;

        Node(String role, int number, int host) throws IOException {
            this.role = role;
            this.zone = ZONES[number % ZONES.length];
            this.ip = network + "." + host;
            this.name = (role.equals("control") ? "core-" : "frontend-") + zone + "-" + number;
            this.data = folder.resolve(name + "-data");
            this.log = folder.resolve(name + ".log");
            Files.createDirectories(data);
        }

        String controlAddress() {
            return ip + ":" + PORTS[0];
        }

        String callersAddress() {
            return ip + ":" + PORTS[1];
        }

        synchronized void start() throws IOException {
            Path settings = folder.resolve(name + ".json");
            Files.writeString(settings, settings());
            ProcessBuilder builder = new ProcessBuilder(Arrays.asList(commands.get(role).split(" ")));
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("RHUBARBKNOT_BOOT", settings.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            wanted = true;
            process = builder.start();
            record(name + " starts, bootstrap " + !startedOnce);
            startedOnce = true;
            Process mine = process;
            mine.onExit().thenAccept(ended -> restart(mine));
        }

        /** The platform starts a process again that has ended by itself. */
        private void restart(Process ended) {
            synchronized (this) {
                if (!wanted || over || ended != process) return;
                ownEnds++;
            }
            record(name + " ended by itself with " + ended.exitValue());
            sleep(RESTART_MILLIS);
            try {
                if (!over) start();
            } catch (IOException e) {
                record(name + " can't be started: " + e);
            }
        }

        /** SIGKILL. */
        synchronized void kill() {
            wanted = false;
            process.destroyForcibly();
            record(name + " is killed");
        }

        private String settings() {
            StringBuilder seeds = new StringBuilder();
            for (Node node : controls) seeds.append(seeds.length() == 0 ? "" : ",").append('"').append(node.controlAddress()).append('"');
            String own = role.equals("control")
                ? "\"controlAddress\":\"" + controlAddress() + "\",\"dataFolder\":\"" + data + "\","
                : "\"callersAddress\":\"" + callersAddress() + "\",\"readinessAddress\":\"" + ip + ":" + PORTS[2] + "\",";
            return "{\"node\":\"" + name + "\",\"ip\":\"" + ip + "\",\"zone\":\"" + zone + "\",\"peerPort\":" + PORTS[3] + "," + own
                + "\"metricsAddress\":\"" + ip + ":" + PORTS[4] + "\",\"controlSeeds\":[" + seeds + "],\"firstStart\":" + !startedOnce
                + ",\"lossesToBear\":1,\"longestLeaseMillis\":10000,\"stopMillis\":900,\"roomGraceMillis\":3000,"
                + "\"reportIntervalMillis\":" + HEARTBEAT_MILLIS + ",\"graceSeconds\":6,\"catchUpSeconds\":4,\"orders\":\"call\"}";
        }

        /** Whether it says of itself that it serves. */
        boolean isReady() {
            String metrics = ip + ":" + PORTS[4];
            Http.Response answer = Http.call(metrics, "GET", "/metrics", metrics, null, "", 500);
            return answer != null && Pattern.compile("(?m)^rhubarbknot_ready 1").matcher(answer.body()).find();
        }
    }

    Drill(int controlCount, int gatewayCount) throws IOException {
        folder = Files.createTempDirectory("rhubarbknot-drill");
        network = freeNetwork();
        readCommands();
        for (int i = 0; i < controlCount; i++) controls.add(new Node("control", i, 11 + i));
        for (int i = 0; i < gatewayCount; i++) gateways.add(new Node("gateway", i, 31 + i));
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    static Thread daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A part of 127.0.0.0/8 and ports that nobody uses. */
    private static String freeNetwork() throws IOException {
        Random random = new Random();
        for (int tries = 0; tries < 100; tries++) {
            String network = "127." + (20 + random.nextInt(200)) + "." + random.nextInt(250);
            int first = 20_000 + random.nextInt(10_000);
            for (int i = 0; i < PORTS.length; i++) PORTS[i] = first + i;
            boolean free = true;
            for (int host : new int[] {11, 12, 13, 31, 32, 33}) {
                for (int port : PORTS) {
                    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(network + "." + host))) {
                        socket.setReuseAddress(true);
                    } catch (IOException e) {
                        free = false;
                    }
                }
            }
            if (free) return network;
        }
        throw new IOException("no free loopback addresses");
    }

    private void readCommands() throws IOException {
        String role = "";
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            Matcher header = Pattern.compile("\\[roles\\.(\\w+)]").matcher(line);
            if (header.matches()) role = header.group(1);
            Matcher run = Pattern.compile("run = \"(.*)\"").matcher(line);
            if (run.matches()) commands.put(role, run.group(1));
        }
    }

    long now() {
        return (System.nanoTime() - startedNanos) / 1_000_000;
    }

    void record(String line) {
        synchronized (lines) {
            lines.add(String.format("%8.3f %s", now() / 1000.0, line));
        }
    }

    void started(String task) {
        synchronized (startedAt) {
            startedAt.putIfAbsent(task, now());
        }
    }

    void ended(String task, String how) {
        synchronized (doneAt) {
            if (how.equals("done")) doneAt.putIfAbsent(task, now());
        }
    }

    /** When a task of the job has begun first, or null. */
    Long begunAt(String job) {
        synchronized (startedAt) {
            return startedAt.entrySet().stream().filter(e -> e.getKey().startsWith(job + ".")).map(Map.Entry::getValue).min(Long::compare)
                .orElse(null);
        }
    }

    boolean isDone(String task) {
        synchronized (doneAt) {
            return doneAt.containsKey(task);
        }
    }

    boolean hasStarted(String task) {
        synchronized (startedAt) {
            return startedAt.containsKey(task);
        }
    }

    /** Starts all machines and sends the first configuration until it is acknowledged; false if that does not happen. */
    boolean start(String configuration) throws IOException {
        for (Node node : controls) node.start();
        for (Node node : gateways) node.start();
        if (!configure(configuration, 30_000)) return false;
        long until = now() + 20_000;
        while (now() < until && !gateways.stream().allMatch(Node::isReady)) sleep(100);
        return now() < until;
    }

    /** Sends a configuration, to one node after the other, until it is acknowledged. */
    boolean configure(String configuration, long millis) {
        long until = now() + millis;
        for (int i = 0; now() < until; i++) {
            String to = controls.get(i % controls.size()).controlAddress();
            Http.Response answer = Http.call(to, "PUT", "/rhubarbknot/config", to, null, configuration, 1_000);
            if (answer != null && answer.status() == 200) {
                record("configuration " + Minion.number(configuration, "version", 0) + " acknowledged by " + to);
                return true;
            }
            sleep(150);
        }
        return false;
    }

    void addMinion(String id, int host, String zone, String rack, String service, int cpu) throws IOException {
        Minion minion = new Minion(this, id, network + "." + host + ":" + PORTS[5], zone, rack, service, cpu);
        minions.add(minion);
        minion.start();
    }

    /** The control process that says it serves, or null. */
    Node leader() {
        return controls.stream().filter(Node::isReady).findFirst().orElse(null);
    }

    /** Hands in a job at one gateway after the other, with the same id, as clients do; the status that ended it, or 0. */
    int submit(String job, String host, String prefix, String key, String body) {
        for (int tries = 0; tries < 5; tries++) {
            Node gateway = gateways.get(tries % gateways.size());
            Http.Response answer = Http.call(gateway.callersAddress(), "POST", prefix + job, host, key, body, 3_000);
            int status = answer == null ? 0 : answer.status();
            record("POST " + prefix + job + " at " + gateway.name + ": " + (status == 0 ? "no answer" : status));
            if (status != 0 && status != 502 && status != 504) return status;
            sleep(200);
        }
        return 0;
    }

    Http.Response get(Node gateway, String host, String path, String key) {
        return Http.call(gateway.callersAddress(), "GET", path, host, key, "", 3_000);
    }

    void endProcesses() {
        over = true;
        for (List<Node> nodes : List.of(controls, gateways)) {
            for (Node node : nodes) if (node.process != null) node.process.destroyForcibly();
        }
    }

    /** Writes the record, removes the temporary folder and ends with [status]. */
    void finish(Path record, int status, String verdict) throws IOException {
        endProcesses();
        record(verdict);
        synchronized (lines) {
            Files.write(record, lines, StandardCharsets.UTF_8);
        }
        System.out.println(verdict);
        sleep(300);
        if (System.getenv("KEEP") == null) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        } else {
            System.out.println(folder);
        }
        System.exit(status);
    }
}
