import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A minion is lost for good, some jobs are handed in, and the control process that leads is killed and comes back. Then a client asks
 * how many jobs of the queue wait.
 */
final class PendingAfterLeaderLoss {
    private static final long CONTACT_MILLIS = 3_000;
    private static final long VISIBLE_MILLIS = 3_000;
    private static final String HOST = "board.example";
    private static final String PREFIX = "/calls/";
    private static final String KEY = "key-of-the-crew";
    private static final String JOB =
        "{\"spec\":\"work=800\",\"steps\":[{\"count\":1,\"cpu\":5100,\"mem_mb\":2000,\"estimated_ms\":800}]}";
    private static final String CONFIGURATION = "{\"version\":3,\"routes\":[{\"name\":\"r-calls\",\"host\":\"" + HOST
        + "\",\"path_prefix\":\"" + PREFIX + "\",\"kind\":\"unsafe\",\"timeout_ms\":3000,\"target_duration_ms\":250,\"priority\":0,"
        + "\"service\":\"board\",\"max_attempts\":3,\"slack_factor\":1.5,\"public\":false}],\"services\":[{\"name\":\"board\","
        + "\"health_path\":\"/healthz\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\"admission_check\":false}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        + "\"tenants\":[{\"name\":\"crew\",\"api_keys\":[\"" + KEY + "\"],\"weight\":40,\"cap\":{\"cpu\":300000,\"mem_mb\":1200000,\"gpu\":0}}]}";

    public static void main(String[] args) throws Exception {
        Path record = Path.of(args[0], "record.txt");
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Drill drill = new Drill(3, 2);
        if (!drill.start(CONFIGURATION)) drill.finish(record, 2, "could not run: the system did not start");
        for (int i = 0; i < 8; i++) {
            String zone = Drill.ZONES[i % 3];
            drill.addMinion("i-0" + i, 51 + i, zone, "r" + (i % 3), "board", 64_000);
        }
        Drill.sleep(4_000);
        if (drill.submit(job(0), HOST, PREFIX, KEY, JOB) / 100 != 2) drill.finish(record, 2, "could not run: no job is accepted");
        Drill.sleep(2_500);
        if (!drill.isDone(job(0) + ".0.0.0")) drill.finish(record, 2, "could not run: the first job is not done");

        Map<String, Long> accepted = new LinkedHashMap<>();
        Drill.Node leader = drill.leader();
        if (leader == null) drill.finish(record, 2, "could not run: no leader is known");
        if (trouble) drill.minions.get(0).goDark();
        for (int i = 1; i <= 10; i++) {
            if (drill.submit(job(i), HOST, PREFIX, KEY, JOB) / 100 == 2) accepted.put(job(i), drill.now());
            Drill.sleep(10);
        }
        long lastCoreEvent = Long.MIN_VALUE / 2;
        if (trouble) {
            leader.kill();
            Drill.sleep(500);
            leader.start();
            lastCoreEvent = drill.now();
        }
        int broken = 0;
        long until = drill.now() + 16_000;
        while (drill.now() < until) {
            for (Drill.Node gateway : drill.gateways) {
                long sentAt = drill.now();
                Http.Response answer = drill.get(gateway, HOST, PREFIX, KEY);
                if (answer == null || answer.status() != 200) {
                    drill.record("GET " + PREFIX + " at " + gateway.name + ": " + (answer == null ? "no answer" : answer.status()));
                    continue;
                }
                long pending = Minion.number(answer.body(), "pending", -1);
                // Accepted longer ago than the rule's time when the question was sent, and not begun when the answer came.
                long old = accepted.entrySet().stream()
                    .filter(e -> e.getValue() <= sentAt - VISIBLE_MILLIS - 2_000 && drill.begunAt(e.getKey()) == null).count();
                boolean inTouch = sentAt - lastCoreEvent >= CONTACT_MILLIS;
                boolean wrong = inTouch && pending * 2 < old;
                if (wrong) broken++;
                drill.record("GET " + PREFIX + " at " + gateway.name + ": pending " + pending + "; jobs that are old enough and have not"
                    + " begun: " + old + (inTouch ? "" : " (not in touch)") + (wrong ? " BROKEN" : ""));
            }
            Drill.sleep(250);
        }
        long begun = accepted.keySet().stream().filter(job -> drill.begunAt(job) != null).count();
        drill.record(begun + " of " + accepted.size() + " accepted jobs have begun by the end");
        drill.finish(record, broken > 0 ? 1 : 0, broken > 0 ? "MIXED is broken: " + broken + " answers" : "MIXED held");
    }

    private static String job(int number) {
        return String.format("5c0e7a21d94b%04x", number);
    }
}
