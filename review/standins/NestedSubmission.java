import java.util.List;

/** A user sends one submission that is malformed: JSON, but not an object. It is repeated as PROTOCOL says. */
final class NestedSubmission {
    private static final List<String> ZONES = List.of("krakow", "poznan", "gdansk", "lodz");
    private static final long RESTART_MS = 6_000;
    private static final int DEPTH = 2_000;

    public static void main(String[] args) throws Exception {
        Site.open(args[0]);
        int code = 2;
        try {
            code = run();
        } catch (Exception e) {
            Site.record("cannot run: " + e);
        }
        Site.record("exit code " + code);
        System.exit(code);
    }

    private static int run() throws Exception {
        Site site = new Site(ZONES, 3);
        site.teams = "\n[[facts.teams]]\nname = \"zespol-oceniania\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\n"
            + "gpus_max = 0.0\n";
        Users users = new Users(site);
        Cloud.Type kruk = new Cloud.Type("kruk", 16, 128, ZONES, 1.2, 0.37, 20, 1.0);
        site.cloud.types.add(kruk);
        for (String zone : ZONES) site.cloud.boot(kruk, zone);
        for (String label : site.labels) site.start(label);
        for (String label : site.labels) if (!site.awaitReady(label, 20_000)) return 2;
        if (!users.submit("holt-0", Users.job("j-000001", "wyniki", "zespol-oceniania", "high", 4, 4, 22), 600_000)) {
            return 2;
        }
        Thread.sleep(8_000);
        Site.record("j-000001 at holt-1: " + users.mood("holt-1", "j-000001"));

        // Without the disruption the array is empty: it is malformed too.
        int depth = Site.hasTrouble() ? DEPTH : 1;
        String body = "[".repeat(depth) + "]".repeat(depth);
        int[] ends = {0};
        Http.daemon(() -> platform(site, ends));
        int status = submit(site, body);
        Thread.sleep(1_000);
        for (String label : site.labels) Site.record("j-000001 at " + label + ": " + users.mood(label, "j-000001"));
        Site.record("malformed submission: last answer " + status + "; controllers that ended by themselves: " + ends[0]);
        return ends[0] == 0 && status == 400 ? 0 : 1;
    }

    /**
     * Sends the submission on a new connection to a healthy controller, and repeats it after a failure of the
     * connection, after 1 s and for up to 60 s in all. Returns the last status, or 0.
     */
    private static int submit(Site site, String body) throws InterruptedException {
        LoadBalancer balancer = new LoadBalancer(site);
        Thread.sleep(1_500);
        long untilMs = Site.nowMs() + 60_000;
        while (Site.nowMs() < untilMs) {
            String label = balancer.choose();
            if (label != null) {
                Http.Message answer = Http.once(site.ports.get(label), "POST", "/submissions", body, 5_000);
                Site.record("submission of " + body.length() + " bytes at " + label + ": " + Users.describe(answer));
                if (answer != null && List.of(200, 201, 400, 422).contains(answer.status())) return answer.status();
            }
            Thread.sleep(1_000);
        }
        return 0;
    }

    /** Starts processes that have ended again, after about the time that the brief names. */
    private static void platform(Site site, int[] ends) throws Exception {
        long[] endedMs = new long[site.labels.size()];
        while (true) {
            for (int i = 0; i < endedMs.length; i++) {
                String label = site.labels.get(i);
                if (!site.isAlive(label) && endedMs[i] == 0) {
                    ends[0]++;
                    endedMs[i] = Site.nowMs();
                    Site.record(label + " ended by itself, exit code " + site.exitCode(label) + ": "
                        + site.log(label).stream().filter(line -> line.contains("Error")).reduce((a, b) -> b).orElse(""));
                } else if (endedMs[i] != 0 && Site.nowMs() - endedMs[i] >= RESTART_MS) {
                    endedMs[i] = 0;
                    site.start(label);
                }
            }
            Thread.sleep(50);
        }
    }
}
