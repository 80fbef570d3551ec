import java.util.LinkedHashMap;
import java.util.Map;

/** What users do: they submit jobs, ask about them and cancel them, and know what they have submitted. */
final class Users implements Worker.Jobs {
    private final Site site;
    private final Map<String, Map<String, Object>> submitted = new LinkedHashMap<>();
    final Map<String, Long> runMs = new LinkedHashMap<>();

    Users(Site site) {
        this.site = site;
        Worker.jobs = this;
    }

    /** A job as in PROTOCOL, "POST /submissions". */
    static Map<String, Object> job(String id, String ilk, String crew, String rank, int chores, double cores,
        double memoryGb) {
        return Json.of("Uid", id, "Ilk", ilk, "Crew", crew, "Sort", "sweep", "Rank", rank, "Chores", (long) chores,
            "Cores", cores, "Cards", 0.0, "MemoryGb", memoryGb, "Pelt", "img-07", "SizeGb", 0.1, "SamePlace", false,
            "Scatter", false, "Driftwood", false, "GuessS", 5.0, "CacheS", 0.0, "StashS", 0.0);
    }

    /** Submits a job at one controller and repeats it as PROTOCOL says; returns whether it was accepted. */
    boolean submit(String label, Map<String, Object> job, long taskRunMs) throws InterruptedException {
        String id = (String) job.get("Uid");
        synchronized (this) {
            submitted.put(id, job);
            runMs.put(id, taskRunMs);
        }
        long untilMs = Site.nowMs() + 60_000;
        while (Site.nowMs() < untilMs) {
            Http.Message answer = Http.once(site.ports.get(label), "POST", "/submissions", Json.write(job), 5_000);
            Site.record("submit " + id + " at " + label + ": " + describe(answer));
            if (answer != null && (answer.status() == 201 || answer.status() == 200)) return true;
            if (answer != null && (answer.status() == 400 || answer.status() == 422)) return false;
            Thread.sleep(1_000);
        }
        return false;
    }

    /** Returns the state of a job, or null if this controller does not answer with 200 or 404 in 2 s. */
    String mood(String label, String id) {
        Http.Message answer = Http.once(site.ports.get(label), "GET", "/submissions/" + id, null, 2_000);
        if (answer == null) return null;
        if (answer.status() == 404) return "404";
        return answer.status() == 200 ? (String) Json.object(answer.text()).get("Mood") : null;
    }

    static String describe(Http.Message answer) {
        return answer == null ? "no response" : answer.status() + " " + answer.text();
    }

    private synchronized Object field(String job, String name) {
        return submitted.containsKey(job) ? submitted.get(job).get(name) : null;
    }

    @Override
    public Double cores(String job) {
        return (Double) field(job, "Cores");
    }

    @Override
    public double memoryGb(String job) {
        return (Double) field(job, "MemoryGb");
    }

    @Override
    public synchronized long runMs(String task) {
        return runMs.get(task.substring(0, task.indexOf('/')));
    }
}
