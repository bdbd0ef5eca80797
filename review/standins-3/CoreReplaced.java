/** All core machines are replaced, one after the other; later all core processes are killed at once. The gateway never finds the core again. */
public class CoreReplaced extends Stand {
    static final int CORE = 3;

    /** catch_up_s is 4. */
    static final long CATCH_UP = 5_000;

    /** recover_s is 12. */
    static final long PATIENCE = 30;

    public static void main(String[] args) throws Exception {
        play(args[0], CORE, 1, CoreReplaced::run);
    }

    static String job(int n) {
        return String.format("c0de%012x", n);
    }

    static boolean completes(Deployment d, int n, long forMillis) {
        submit(d, job(n), "{\"spec\":\"tally\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":256,\"estimated_ms\":300}]}", 5_000);
        long until = System.nanoTime() + forMillis * 1_000_000;
        while (System.nanoTime() < until) {
            if (state(d, job(n)).equals("completed")) {
                note("job " + job(n) + " is completed");
                return true;
            }
            sleep(100);
        }
        return false;
    }

    static boolean run(Deployment d) throws Exception {
        d.startAll();
        order(d, "PUT", "/rhubarbknot/config", configuration(1, 1, 3), 30_000);
        while (client(d, 0, "GET", "", null, 1_000).status != 200) sleep(100);
        for (int i = 0; i < 3; i++) new Minion(d, 101 + i, "i-10" + i, 8_000, "a", 300, SOUND).start(0);
        sleep(500);
        if (!completes(d, 0, 10_000)) throw new CannotRun("the first job is not completed");
        for (int i = 0; i < CORE; i++) {
            note("core-" + i + " is replaced by core-" + (CORE + i));
            d.startControl(CORE + i, false);
            sleep(CATCH_UP);
            d.terminate("core-" + i);
            d.first = i + 1;
            sleep(CATCH_UP);
            if (!completes(d, 1 + i, 10_000)) throw new CannotRun("a job is not completed after a replacement");
        }
        if (TROUBLE) {
            for (int i = 0; i < CORE; i++) d.kill("core-" + (CORE + i));
            sleep(500);
            for (int i = 0; i < CORE; i++) d.startControl(CORE + i, false);
        }
        int answered = 0;
        double coreBack = -1;
        double from = seconds();
        for (int n = 0; seconds() - from < PATIENCE; n++) {
            if (coreBack < 0 && call(d.anyControl(n), "GET", "/rhubarbknot/config", null, 1_000).status == 200) {
                coreBack = seconds();
                note("the core answers the operator");
            }
            Answer answer = client(d, 0, "GET", job(0), null, 3_000);
            if (answer.status == 200) answered++;
            if (n % 10 == 0 || answer.status == 200 && answered == 1) note("client GET " + job(0) + " -> " + answer.status + " " + answer.body);
            if (answered > 0) break;
            sleep(300);
        }
        if (coreBack < 0 && answered == 0) throw new CannotRun("the core has not come back");
        if (answered == 0) {
            note(String.format("no client got an answer in %d s, %.0f s of them after the core was back", PATIENCE, seconds() - coreBack));
            return false;
        }
        return completes(d, 9, 20_000);
    }
}
