import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Jobs of two steps are accepted. While their first steps run, a configuration comes in which one route has another name and another
 * route is gone. Nothing else changes, and nothing fails. Without the disruption the configuration only changes a time-out.
 */
final class RenamedQueue {
    private static final long FINISH_MILLIS = 14_000;
    private static final String HOST = "board.example";
    private static final String KEY = "key-of-the-crew";
    private static final String KEPT = "/kept/";
    private static final String RENAMED = "/renamed/";
    private static final String REMOVED = "/removed/";
    private static final String JOB = "{\"spec\":\"work=3000\",\"steps\":["
        + "{\"count\":2,\"cpu\":3600,\"mem_mb\":1000,\"estimated_ms\":3000},"
        + "{\"count\":2,\"cpu\":3600,\"mem_mb\":1000,\"estimated_ms\":3000,\"after\":[0]}]}";

    private static String route(String name, String prefix, int timeout) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"" + prefix + "\",\"kind\":\"unsafe\",\"timeout_ms\":"
            + timeout + ",\"target_duration_ms\":3000,\"priority\":1,\"service\":\"board\",\"max_attempts\":3,\"slack_factor\":4.0,"
            + "\"public\":false}";
    }

    private static String configuration(int version, String... routes) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":[{\"name\":\"board\","
            + "\"health_path\":\"/healthz\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\"admission_check\":false}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
            + "\"tenants\":[{\"name\":\"crew\",\"api_keys\":[\"" + KEY + "\"],\"weight\":40,"
            + "\"cap\":{\"cpu\":300000,\"mem_mb\":1200000,\"gpu\":0}}]}";
    }

    public static void main(String[] args) throws Exception {
        Path record = Path.of(args[0], "record.txt");
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Drill drill = new Drill(3, 2);
        String first = configuration(3, route("r-kept", KEPT, 3000), route("r-one", RENAMED, 3000), route("r-two", REMOVED, 3000));
        if (!drill.start(first)) drill.finish(record, 2, "could not run: the system did not start");
        for (int i = 0; i < 6; i++) drill.addMinion("i-0" + i, 51 + i, Drill.ZONES[i % 3], "r" + (i % 3), "board", 64_000);
        Drill.sleep(4_000);
        List<String> paths = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            for (String prefix : List.of(KEPT, RENAMED, REMOVED)) {
                String job = String.format("7a21d94b%04x%04x", prefix.length(), i);
                if (drill.submit(job, HOST, prefix, KEY, JOB) / 100 != 2) drill.finish(record, 2, "could not run: a job is not accepted");
                paths.add(prefix + job);
            }
        }
        Drill.sleep(1_000);
        String next = trouble
            ? configuration(8, route("r-kept", KEPT, 3000), route("r-uno", RENAMED, 3000))
            : configuration(8, route("r-kept", KEPT, 3000), route("r-one", RENAMED, 2900), route("r-two", REMOVED, 3000));
        if (!drill.configure(next, 8_000)) drill.finish(record, 2, "could not run: the second configuration is not acknowledged");
        drill.record("that was the last request that changes anything");
        // A job may wait for room or be retried; nothing keeps these from ending after some 7 s.
        Drill.sleep(FINISH_MILLIS);
        int stuck = 0;
        for (int second = 0; second < 6; second++) {
            stuck = 0;
            int busy = drill.minions.stream().mapToInt(Minion::runningCount).sum();
            for (String path : paths) {
                String job = path.substring(path.lastIndexOf('/') + 1);
                Http.Response answer = drill.get(drill.gateways.get(second % 2), HOST, path, KEY);
                boolean firstDone = drill.isDone(job + ".0.0.0") && drill.isDone(job + ".0.0.1");
                boolean secondBegun = drill.hasStarted(job + ".0.1.0") || drill.hasStarted(job + ".0.1.1");
                boolean waits = firstDone && !secondBegun && busy == 0;
                if (waits) stuck++;
                drill.record("GET " + path + ": " + (answer == null ? "no answer" : answer.status() + " " + answer.body())
                    + "; first step done " + firstDone + ", second step begun " + secondBegun + ", tasks running on all minions " + busy
                    + (waits ? " NOTHING RUNS THOUGH ITS TURN HAS COME" : ""));
            }
            Drill.sleep(1_000);
        }
        drill.finish(record, stuck > 0 ? 1 : 0, stuck > 0 ? "LOST is broken: " + stuck + " of 9 accepted jobs stand still" : "LOST held");
    }
}
