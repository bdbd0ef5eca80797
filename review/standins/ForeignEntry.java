import java.nio.file.Path;

/**
 * Another writer sends an entry of a service that no configuration names, at the address of a minion that is at work. The entry names
 * no minion to use; the others hold.
 */
final class ForeignEntry extends Scenario {
    private static final int WORK_MILLIS = 8_000;

    ForeignEntry(Path folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) {
        run(ForeignEntry.class, args[0]);
    }

    @Override
    String play() throws Exception {
        deployment.found();
        configure(1, 3_000);
        Minion[] minions = {minion("w1", 1, 16_000), minion("w2", 2, 16_000)};
        Minion.sleep(2_000);
        submit(id(1), "work " + WORK_MILLIS, "{\"count\":1,\"cpu\":1000,\"mem_mb\":100,\"estimated_ms\":" + WORK_MILLIS + "}");
        String task = id(1) + ".0.0.0";
        require(await(5_000, () -> isAtWork(task)), "the task does not start");
        Minion at = minions[0].isRunning(task) ? minions[0] : minions[1];
        Minion.sleep(1_000);
        if (!trouble.equals("0")) {
            String entry =
                "{\"service\":\"looms\",\"address\":\"" + at.address + "\",\"zone\":\"za\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
                    + "\"cold_remaining_ms\":0,\"room\":{\"cpu\":16000,\"mem_mb\":65536,\"gpu\":0},\"labels\":[\"a\",\"r1\"],\"born\":"
                    + System.currentTimeMillis() + ",\"clock_ms\":1000,\"call_seq\":1}";
            String to = deployment.controlAddresses().get(0);
            Http.Response response = Http.call(to, "PUT", "/rhubarbknot/instances/i-other", null, null, entry, 1_000);
            trace.line("another writer: PUT instances/i-other " + entry + " to " + to + ": " + shown(response));
        }
        await(WORK_MILLIS + 6_000, () -> firstOverlap() != null || state(id(1)).equals("completed"));
        Minion.sleep(1_000);
        deployment.quoteLogs("worker_over", "run_lost", "run_started");
        return firstOverlap() == null ? null : "TWICE: " + firstOverlap();
    }
}
