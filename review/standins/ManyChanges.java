import java.nio.file.Path;

/**
 * The configuration has grown by many routes, and the operator changes it some hundred times, until a change is not acknowledged.
 * Clients hand in four short jobs a change. Then the control nodes are stopped and started in turn.
 *
 * <p>With TROUBLE=0 the configuration is small; the rest is the same. Processes that end by themselves are started again.
 */
final class ManyChanges extends Scenario {
    private static final int ROUTES = 1_400;
    private static final int SMALL_ROUTES = 8;
    private static final int CHANGES = 160;
    private static final long GAP_MILLIS = 330;
    /** The users' plan has 220,000 jobs and 53,000 changes a day. */
    private static final int JOBS_A_CHANGE = 4;
    private static final double LAST_CHANGE_SECONDS = 60;
    /** The pause of the rolling restart between two machines. */
    private static final long ROLL_GAP_MILLIS = 2_000;
    private static final long SETTLE_MILLIS = 8_000;
    /** The operator gives large bodies more than the usual second. */
    private static final int ANSWER_MILLIS = 2_000;
    private static final long RESTART_MILLIS = 1_000;
    private static final long CONTACT_MILLIS = 3_000;
    private static final String SHORT_JOB =
        "{\"spec\":\"work 50\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem_mb\":100,\"estimated_ms\":50}]}";
    private volatile int ownEnds;
    private volatile Deployment.Node stopping;
    private volatile boolean over;

    ManyChanges(Path folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) {
        run(ManyChanges.class, args[0]);
    }

    @Override
    String play() throws Exception {
        deployment.found();
        configure(1, 3_000);
        minion("w1", 1, 16_000);
        minion("w2", 2, 16_000);
        Thread platform = new Thread(this::restartEnded);
        platform.setDaemon(true);
        platform.start();
        submit(id(1), "serve", "{\"count\":1,\"cpu\":1000,\"mem_mb\":100,\"long_running\":true}");
        int routes = trouble.equals("0") ? SMALL_ROUTES : ROUTES;
        trace.line("configurations with " + routes + " idle routes, " + configuration(2, 3_001, routes).length() + " bytes");

        int acked = 1;
        boolean accepted = true;
        int jobs = 0;
        for (int version = 2; version < 2 + CHANGES && accepted; version++) {
            long next = System.nanoTime() + GAP_MILLIS * 1_000_000;
            accepted = put(configuration(version, 3_000 + version, routes));
            if (accepted) acked = version;
            for (int i = 0; i < JOBS_A_CHANGE && accepted; i++) {
                if (isAccepted(client("POST", id(JOBS_A_CHANGE * version + i), SHORT_JOB, i))) jobs++;
            }
            if (!accepted || version % 10 == 0) trace.line("operator: configuration " + version + (accepted ? " acknowledged" : " not acknowledged"));
            Minion.sleep(Math.max(0, (next - System.nanoTime()) / 1_000_000));
        }
        trace.line("operator: no more changes; the newest acknowledged is " + acked + "; jobs accepted: " + jobs + "; processes that ended by themselves: " + ownEnds);
        for (Deployment.Node node : deployment.controls) {
            stopping = node;
            node.terminate();
            node.start();
            stopping = null;
            Minion.sleep(ROLL_GAP_MILLIS);
        }
        Minion.sleep(SETTLE_MILLIS);

        int newest = acked;
        boolean read = await(CONTACT_MILLIS + 1_000, () -> {
            boolean found = false;
            for (String control : deployment.controlAddresses()) {
                Http.Response response = Http.call(control, "GET", "/rhubarbknot/config", null, null, null, ANSWER_MILLIS);
                String shown = shown(response);
                trace.line("operator: GET config at " + control + ": " + shown.substring(0, Math.min(60, shown.length())));
                if (response != null && response.status() == 200) {
                    found |= (Long) Json.object(response.body()).get("version") >= newest;
                }
            }
            if (!found) Minion.sleep(500);
            return found;
        });
        String state = state(id(1));
        over = true;
        trace.line("processes that ended by themselves: " + ownEnds);
        deployment.quoteLogs("\"failed\"", "thread \"main\"");
        if (read && state.equals("running")) return null;
        return "CONFIG, LOST: " + (read ? "" : "the configuration can't be read back; ") + "the accepted job: " + state + "; " + ownEnds
            + " processes ended by themselves";
    }

    private static boolean isAccepted(Http.Response response) {
        return response != null && response.status() / 100 == 2;
    }

    private static String configuration(int version, int timeoutMillis, int idleRoutes) {
        StringBuilder more = new StringBuilder();
        for (int i = 1; i <= idleRoutes; i++) more.append(',').append(idleRoute(i));
        return configuration(version, timeoutMillis, more.toString());
    }

    private static String idleRoute(int i) {
        return route("r-idle" + i, "/idle" + i + "/", 3_000, 1, true);
    }

    /** Sends an order unchanged to the nodes by turns, until it gets a clear answer. */
    private boolean put(String body) {
        for (int i = 0; i < 4 && trace.seconds() < LAST_CHANGE_SECONDS; i++) {
            String to = deployment.controlAddresses().get(i % 3);
            Http.Response response = Http.call(to, "PUT", "/rhubarbknot/config", null, null, body, ANSWER_MILLIS);
            if (response != null && response.status() == 200) return true;
            trace.line("operator: PUT config at " + to + ": " + shown(response));
            Minion.sleep(Math.min(1_000, 100L << i));
        }
        return false;
    }

    private void restartEnded() {
        while (!over) {
            Minion.sleep(100);
            for (Deployment.Node node : deployment.controls) {
                if (over || node.isAlive() || node == stopping) continue;
                ownEnds++;
                trace.line("process ended by itself: " + node);
                Minion.sleep(RESTART_MILLIS);
                try {
                    node.start();
                } catch (java.io.IOException e) {
                    trace.line("process not started: " + e);
                }
            }
        }
    }
}
