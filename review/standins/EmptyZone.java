import java.util.Map;
import java.util.List;

/** A zone loses its cheap machine, and the cloud has no other there; the machine in the other zone has room. */
final class EmptyZone {
    private static final List<String> ZONES = List.of("krakow", "poznan");
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
        site.teams = "\n[[facts.teams]]\nname = \"zespol-oceniania\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\n"
            + "gpus_max = 0.0\n\n[[facts.teams]]\nname = \"uczelnia-gosc\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\n"
            + "gpus_max = 0.0\n";
        Users users = new Users(site);
        Cloud.Type kruk = new Cloud.Type("kruk", 16, 128, ZONES, 1.2, 0.37, 20, 1.0);
        site.cloud.types.add(kruk);
        // The cloud has no more machines in poznan; in krakow it has.
        site.cloud.capacity.put("kruk krakow", 8);
        Worker ordinary = site.cloud.boot(kruk, "krakow");
        Worker cheap = site.cloud.bootSpot(kruk, "poznan");
        for (String label : site.labels) site.start(label);
        for (String label : site.labels) if (!site.awaitReady(label, 20_000)) return 2;
        Thread.sleep(4_000);

        // Three tasks of 4 cores keep the machine in krakow busy, with 4 of its 16 cores free.
        Map<String, Object> busy = Users.job("j-000001", "ocenianie", "zespol-oceniania", "high", 3, 4, 24);
        busy.put("Reach", "krakow");
        if (!users.submit("holt-1", busy, 600_000)) return 2;
        if (!await(20_000, () -> ordinary.running().size() == 3)) return 2;
        Thread.sleep(2_500);
        Map<String, Object> small = Users.job("j-000002", "drobne-testy", "uczelnia-gosc", "best_effort", 1, 0.25, 1.8);
        small.put("Driftwood", true);
        if (!users.submit("holt-0", small, 600_000)) return 2;
        if (!await(20_000, () -> cheap.running().containsKey("j-000002/0"))) return 2;

        if (Site.hasTrouble()) site.cloud.take(cheap);
        long leaseMs = (long) (site.leaseS * 1000);
        long waitingSinceMs = Site.nowMs() + leaseMs;
        long watchedMs = waitingSinceMs + 5_000;
        while (Site.nowMs() - waitingSinceMs < WAITING_MS) {
            Thread.sleep(200);
            if (ordinary.running().size() > 3 || cheap.running().containsKey("j-000002/0")) {
                if (Site.nowMs() < watchedMs) continue;
                Site.record("j-000002/0 runs");
                return 0;
            }
            if (ordinary.running().size() < 3) return 2;
        }
        Site.record("j-000002 at holt-0: " + users.mood("holt-0", "j-000002") + "; it has waited for 90 s, and "
            + ordinary.id + " (kruk, krakow) has had 4 cores and 56 GB free");
        return 1;
    }

    private interface Condition {
        boolean holds();
    }

    private static boolean await(long limitMs, Condition condition) throws InterruptedException {
        long untilMs = Site.nowMs() + limitMs;
        while (!condition.holds()) {
            if (Site.nowMs() > untilMs) return false;
            Thread.sleep(50);
        }
        return true;
    }
}
