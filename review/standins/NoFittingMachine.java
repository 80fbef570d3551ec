import java.util.List;
import java.util.Map;

/** The machine of a job whose tasks fit one machine type only stops with all that is on it. */
final class NoFittingMachine {
    private static final List<String> ZONES = List.of("kigali", "rubavu");
    private static final long WAITING_MS = 90_000;

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
        site.reportS = 0.8;
        site.teams = "\n[[facts.teams]]\nname = \"kivu-branches\"\ncpus = 296.0\ncpus_max = 1104.0\ngpus = 0.0\n"
            + "gpus_max = 0.0\n";
        Users users = new Users(site);
        Cloud.Type isambaza = new Cloud.Type("isambaza", 16, 128, ZONES, 1.16, 0.44, 15, 0.3);
        Cloud.Type ingagi = new Cloud.Type("ingagi", 32, 128, ZONES, 2.0, 0.71, 40, 0.8);
        site.cloud.types.add(isambaza);
        site.cloud.types.add(ingagi);
        // The cloud has room for more machines of both types in both zones.
        for (String zone : ZONES) {
            site.cloud.capacity.put("isambaza " + zone, 24);
            site.cloud.capacity.put("ingagi " + zone, 24);
        }
        Worker first = site.cloud.boot(ingagi, "kigali");
        site.cloud.boot(isambaza, "kigali");
        Worker fitting = site.cloud.boot(ingagi, "rubavu");
        for (String label : site.labels) site.start(label);
        for (String label : site.labels) if (!site.awaitReady(label, 20_000)) return 2;

        Thread.sleep(5_000);
        // Six tasks of 4 cores keep the machine in rubavu busy, with 8 of its 32 cores free.
        Map<String, Object> busy = Users.job("j-000001", "permit-check", "kivu-branches", "high", 6, 4, 14);
        busy.put("Reach", "rubavu");
        if (!users.submit("holt-1", busy, 600_000)) return 2;
        long untilMs = Site.nowMs() + 20_000;
        while (fitting.running().size() < 6) {
            if (Site.nowMs() > untilMs) return 2;
            Thread.sleep(100);
        }
        Thread.sleep(2_500);
        Map<String, Object> job = Users.job("j-000002", "permit-check", "kivu-branches", "high", 1, 4, 14);
        job.put("Breeds", List.of("ingagi"));
        if (!users.submit("holt-0", job, 600_000)) return 2;
        untilMs = Site.nowMs() + 20_000;
        while (!first.running().containsKey("j-000002/0") && !fitting.running().containsKey("j-000002/0")) {
            if (Site.nowMs() > untilMs) return 2;
            Thread.sleep(100);
        }
        if (fitting.running().containsKey("j-000002/0")) {
            Site.record("j-000002 was placed in rubavu: the case cannot run");
            return 2;
        }
        if (Site.hasTrouble()) {
            site.cloud.fail(first);
        }
        long troubleMs = Site.nowMs();
        long leaseMs = (long) (site.leaseS * 1000);
        long waitingSinceMs = troubleMs + leaseMs;
        while (true) {
            Thread.sleep(500);
            long now = Site.nowMs();
            String on = null;
            for (Worker worker : site.cloud.all()) if (worker.running().containsKey("j-000002/0")) on = worker.id;
            if (on != null) {
                if (now - troubleMs > leaseMs + 5_000) {
                    Site.record("j-000002/0 runs on " + on);
                    return 0;
                }
                waitingSinceMs = Math.max(now, troubleMs + leaseMs);
                continue;
            }
            int used = fitting.running().size() * 4;
            if (used > 28) {
                Site.record(fitting.id + " has no room: the case cannot run");
                return 2;
            }
            if (now - waitingSinceMs >= WAITING_MS) {
                Site.record("j-000002 at holt-0: " + users.mood("holt-0", "j-000002") + "; it has waited for "
                    + (now - waitingSinceMs) / 1000.0 + " s, and " + fitting.id + " (ingagi, rubavu) has had "
                    + (32 - used) + " cores free");
                return 1;
            }
        }
    }
}
