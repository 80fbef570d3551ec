import java.util.List;
import java.util.Map;

/** All controllers crash while a machine runs whose type the cloud no longer offers. */
final class RetiredType {
    private static final List<String> ZONES = List.of("kigali", "rubavu", "huye");
    private static final long RESTART_MS = 3_000;

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
        site.reportS = 2.5;
        site.leaseS = 14.0;
        site.cancelS = 34.0;
        site.rps = 70.0;
        site.writeRps = 25.0;
        site.valueKb = 32.0;
        site.store.valueBytes = 32 * 1024;
        site.txnOps = 20;
        site.store.txnOps = 20;
        site.fdLimit = 1_800;
        site.teams = "\n[[facts.teams]]\nname = \"kivu-branches\"\ncpus = 296.0\ncpus_max = 1104.0\ngpus = 0.0\n"
            + "gpus_max = 0.0\n";
        Users users = new Users(site);
        Cloud.Type isambaza = new Cloud.Type("isambaza", 16, 128, ZONES, 1.16, 0.44, 15, 0.3);
        Cloud.Type ingagi = new Cloud.Type("ingagi", 32, 128, ZONES, 2.0, 0.71, 40, 0.8);
        site.cloud.types.add(isambaza);
        site.cloud.types.add(ingagi);
        Worker first = site.cloud.boot(ingagi, "kigali");
        for (String label : site.labels) site.start(label);
        for (String label : site.labels) if (!site.awaitReady(label, 20_000)) return 2;

        Map<String, Object> job = Users.job("j-000001", "renewal-notice", "kivu-branches", "normal", 2, 4, 14);
        job.put("Reach", "kigali");
        if (!users.submit("holt-1", job, 600_000)) return 2;
        if (!await(20_000, () -> first.running().size() == 2)) return 2;
        // The cloud no longer offers ingagi; the machine that is rented goes on. Controllers ask once a minute.
        site.cloud.retire(ingagi);
        if (!await(70_000, () -> !Json.write(site.store.value("o/t")).contains("ingagi"))) return 2;
        Worker second = site.cloud.boot(isambaza, "kigali");
        Thread.sleep(4_000);
        if (Site.hasTrouble()) {
            for (String label : site.labels) site.kill(label);
            Thread.sleep(RESTART_MS);
            for (String label : site.labels) site.start(label);
        }
        long untilMs = Site.nowMs() + 35_000;
        while (Site.nowMs() < untilMs) {
            for (String task : second.running().keySet()) {
                if (first.running().containsKey(task)) {
                    Site.record(task + " runs on " + first.id + " (attempt " + first.running().get(task) + ") and on "
                        + second.id + " (attempt " + second.running().get(task) + ")");
                    return 1;
                }
            }
            Thread.sleep(20);
        }
        return 0;
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
