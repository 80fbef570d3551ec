import java.util.List;
import java.util.Map;

/**
 * All controllers crash after some days of work. The state service then holds the final states of all jobs of these
 * days, and a job that was accepted before the crash.
 */
final class ManyEndedJobs {
    private static final List<String> ZONES = List.of("krakow", "poznan", "gdansk", "lodz");

    /** BRIEF: 9, 4.7 and 4.5 jobs a minute. */
    private static final double JOBS_A_DAY = (9 + 4.7 + 4.5) * 60 * 24;
    private static final long RESTART_MS = 6_000;
    private static final long FORGOTTEN_MS = 75_000;

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

        // Real jobs: their final records are the pattern for those of the earlier days.
        Map<String, Object> small = Users.job("j-000001", "ocenianie", "zespol-oceniania", "high", 8, 4, 24);
        Map<String, Object> large = Users.job("j-000002", "przedruk", "zespol-oceniania", "best_effort", 16, 1, 5.1);
        Map<String, Object> open = Users.job("j-000003", "wyniki", "zespol-oceniania", "high", 2, 4, 22);
        if (!users.submit("holt-0", small, 1_000) || !users.submit("holt-1", large, 1_000)) return 2;
        long untilMs = Site.nowMs() + 30_000;
        while (!"done".equals(users.mood("holt-0", "j-000001")) || !"done".equals(users.mood("holt-1", "j-000002"))) {
            if (Site.nowMs() > untilMs) return 2;
            Thread.sleep(200);
        }
        Object[] records = {site.store.value("o/j/j-000001"), site.store.value("o/j/j-000002")};
        Site.record("j-000001 and j-000002 are done; their records: " + Json.write(records[0]) + " "
            + Json.write(records[1]));
        if (!users.submit("holt-0", open, 600_000)) return 2;

        double days = Double.parseDouble(System.getenv().getOrDefault("DAYS", Site.hasTrouble() ? "3" : "1"));
        int count = (int) (days * JOBS_A_DAY);
        if (Site.hasTrouble()) {
            for (String label : site.labels) site.kill(label);
            for (int i = 0; i < count; i++) site.store.preload(id(i), records[i % 2]);
            Site.record("the state service holds the final states of " + count + " jobs, " + days + " days of work");
            Thread.sleep(RESTART_MS);
            for (String label : site.labels) site.start(label);
        } else {
            // Without the crash the controllers see the records one after the other, as they see those of others.
            for (int i = 0; i < count; i++) {
                site.store.put(id(i), records[i % 2]);
                if (i % 100 == 99) Thread.sleep(50);
            }
            Site.record("the controllers have seen the final states of " + count + " jobs, " + days + " days of work");
        }
        return watch(site, users);
    }

    private static String id(int job) {
        return String.format("o/j/j-%06d", 100_000 + job);
    }

    /** The platform starts ended processes again; a user asks about the open job at all controllers, for 75 s. */
    private static int watch(Site site, Users users) throws Exception {
        long[] endedMs = new long[site.labels.size()];
        int ends = 0;
        long unansweredSinceMs = Site.nowMs();
        long startedMs = unansweredSinceMs;
        long longestMs = 0;
        while (Site.nowMs() - startedMs < FORGOTTEN_MS + 3_000) {
            for (int i = 0; i < endedMs.length; i++) {
                String label = site.labels.get(i);
                if (!site.isAlive(label) && endedMs[i] == 0) {
                    ends++;
                    endedMs[i] = Site.nowMs();
                    Site.record(label + " ended by itself, exit code " + site.exitCode(label) + ": "
                        + site.log(label).stream().filter(line -> line.contains("Error")).reduce((a, b) -> b).orElse(""));
                } else if (endedMs[i] != 0 && Site.nowMs() - endedMs[i] >= RESTART_MS) {
                    endedMs[i] = 0;
                    site.start(label);
                }
                if (site.isAlive(label)) {
                    String mood = users.mood(label, "j-000003");
                    if (mood != null) {
                        if (Site.nowMs() - unansweredSinceMs > 2_000) Site.record("j-000003 at " + label + ": " + mood);
                        unansweredSinceMs = Site.nowMs();
                        if (mood.equals("404")) return 1;
                    }
                }
            }
            longestMs = Math.max(longestMs, Site.nowMs() - unansweredSinceMs);
            Thread.sleep(500);
        }
        Site.record("controllers that ended by themselves: " + ends + "; j-000003 was without an answer for "
            + longestMs / 1000.0 + " s");
        return longestMs >= FORGOTTEN_MS ? 1 : 0;
    }
}
