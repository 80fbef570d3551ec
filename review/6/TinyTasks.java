import java.util.Map;

/** An array of many small tasks, more than a worker can name in one report. */
public final class TinyTasks {
    private static final int TASKS = 4_000;
    private static final int TASKS_WITHOUT_TROUBLE = 100;
    private static final long LATE_MS = 60_000;

    public static void main(String[] args) throws Exception {
        Case.run(args, Deployment.uwimana(), TinyTasks::run);
    }

    private static boolean run(Site site, boolean trouble) throws Exception {
        for (String zone : site.deployment.zones) site.cloud.boot("isambaza", zone, false);
        site.startServices();
        site.startControllers();
        Case.require(site.awaitReady(20_000), "the controllers are not ready");
        int tasks = trouble ? TASKS : TASKS_WITHOUT_TROUBLE;
        Map<String, Object> small = site.deployment.job("j-000001", "kivu-branches", tasks, 0.002, 0.02);
        small.put("Reach", "kigali");
        Case.require(site.submit(small, 5.0, 10_000) == 201, "the job is not accepted");
        // An ordinary job of another team, of the deployment's usual size.
        Map<String, Object> other = site.deployment.job("j-000002", "akagera-desk", 5, 4.0, 14.0);
        other.put("Reach", "kigali");
        Case.require(site.submit(other, 15.0, 10_000) == 201, "the other job is not accepted");

        long allCompletedMs = Long.MAX_VALUE;
        while (Site.nowMs() < 110_000) {
            Site.sleep(1000);
            Http.Answer answer = site.askAny("j-000001");
            Http.Answer otherAnswer = site.askAny("j-000002");
            long completed = site.completedMs.keySet().stream().filter(it -> it.startsWith("j-000001/")).count();
            long otherCompleted = site.completedMs.keySet().stream().filter(it -> it.startsWith("j-000002/")).count();
            site.note("user asks: %s %s; completed on workers: %d and %d", text(answer), text(otherAnswer), completed,
                otherCompleted);
            if (completed == tasks && allCompletedMs == Long.MAX_VALUE) allCompletedMs = Site.nowMs();
            if (isDone(answer) && isDone(otherAnswer)) return true;
            if (allCompletedMs < Site.nowMs() - LATE_MS && !isDone(answer)) break;
        }
        for (Worker worker : site.cloud.everyWorker()) {
            site.note("%s: longest line of a response %d bytes, largest report %d bytes, %d refused (%d), %d leases lost",
                worker.machine.id, worker.longestLine, worker.largestReport, worker.refusedReports,
                worker.lastRefusal, worker.leasesLost);
        }
        return false;
    }

    private static String text(Http.Answer answer) {
        return answer == null ? "no answer" : answer.text;
    }

    private static boolean isDone(Http.Answer answer) {
        return answer != null && answer.text.contains("\"Mood\":\"done\"");
    }
}
