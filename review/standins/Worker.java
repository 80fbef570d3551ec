import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The worker of one machine, by PROTOCOL. Tasks have no checkpoints; images are there at once. */
final class Worker {
    static final class Task {
        final String name;
        final long attempt;
        String mood = "running";
        String cause;
        long endsMs;

        Task(String name, long attempt, long endsMs) {
            this.name = name;
            this.attempt = attempt;
            this.endsMs = endsMs;
        }
    }

    interface Jobs {
        /** The cores of each task of the job, or null if nobody submitted it. */
        Double cores(String job);

        double memoryGb(String job);

        long runMs(String task);
    }

    static Jobs jobs;
    private static final int REPORT_LIMIT_MS = 4_000;
    static final int MAX_BODY_BYTES = 64 * 1024;

    private final Site site;
    final String id;
    final Cloud.Type type;
    final String zone;
    final boolean spot;
    final long rentedMs = Site.nowMs();
    private final long upMs;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private volatile boolean ended;
    private volatile long endedMs;
    private long dive = 1;
    private long ripple = 0;
    private long warrant = 0;
    private long leaseFromMs;
    private String node;
    private Http.Client client;
    private boolean changed;

    Worker(Site site, String id, Cloud.Type type, String zone, boolean spot, double afterS) {
        this.site = site;
        this.id = id;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        upMs = rentedMs + (long) (afterS * 1000);
        leaseFromMs = upMs;
        use(site.labels.get(Math.abs(id.hashCode()) % site.labels.size()));
    }

    void start() {
        Http.daemon(this::run);
    }

    void end() {
        ended = true;
        endedMs = Site.nowMs();
    }

    /** How the cloud lists the machine. */
    String mood() {
        if (!ended && Site.nowMs() < upMs) return "booting";
        return ended && Site.nowMs() - endedMs > 30_000 ? "failed" : "running";
    }

    private void use(String label) {
        if (client != null) client.close();
        node = label;
        client = new Http.Client(site.ports.get(label));
    }

    /** Makes a running task end after some time. */
    synchronized void endTask(String name, long afterMs) {
        for (Task task : tasks.values()) {
            if (task.name.equals(name) && task.mood.equals("running")) task.endsMs = Site.nowMs() + afterMs;
        }
    }

    /** The tasks that run now, with their attempts. */
    synchronized Map<String, Long> running() {
        advance();
        Map<String, Long> result = new LinkedHashMap<>();
        if (!ended) {
            for (Task task : tasks.values()) if (task.mood.equals("running")) result.put(task.name, task.attempt);
        }
        return result;
    }

    /** Ends the session when the lease has run out, and the tasks that are due. */
    private synchronized void advance() {
        long now = Site.nowMs();
        if (ended || now < upMs) return;
        if (now - leaseFromMs > site.leaseS * 1000) {
            Site.record(id + " lease expired, " + tasks.size() + " tasks killed");
            tasks.clear();
            dive++;
            leaseFromMs = now;
            changed = true;
        }
        for (Task task : tasks.values()) {
            if (task.mood.equals("running") && now >= task.endsMs) {
                task.mood = "exited";
                task.cause = "done";
                changed = true;
                Site.record(id + " " + task.name + "#" + task.attempt + " done");
            }
        }
    }

    private void run() throws InterruptedException {
        Thread.sleep(Math.max(0, upMs - Site.nowMs()) + (long) (Math.random() * 500));
        while (!ended) {
            report();
            long pauseMs = (long) (site.reportS * 1000 * (0.75 + Math.random() / 2));
            long sinceMs = Site.nowMs();
            while (!ended && Site.nowMs() - sinceMs < pauseMs) {
                Thread.sleep(50);
                advance();
                if (changed && Site.nowMs() - sinceMs >= 500) break;
            }
        }
    }

    private void report() throws InterruptedException {
        advance();
        String body;
        long session;
        synchronized (this) {
            changed = false;
            session = dive;
            List<Object> chores = new ArrayList<>();
            for (Task task : tasks.values()) {
                chores.add(Json.of("Chore", task.name, "Try", task.attempt, "Mood", task.mood, "Cause", task.cause));
            }
            body = Json.write(Json.of("Holt", id, "Endpoint", "127.0.0.1:9", "Breed", type.name, "Reach", zone,
                "Driftwood", spot, "Dive", dive, "Ripple", ++ripple, "Warrant", warrant, "Chores", chores));
        }
        long sentMs = Site.nowMs();
        Http.Message answer = client.call("POST", "/v1/report", body, REPORT_LIMIT_MS);
        advance();
        if (answer != null && answer.status() == 200) {
            apply(Json.object(answer.text()), session, sentMs);
            return;
        }
        String other = null;
        if (answer != null && answer.status() == 421) other = (String) Json.object(answer.text()).get("AnswerTo");
        if (other != null && !other.equals(node) && site.ports.containsKey(other)) {
            use(other);
            Thread.sleep(100);
            report();
            return;
        }
        use(site.labels.get((site.labels.indexOf(node) + 1) % site.labels.size()));
        Thread.sleep(1_000);
    }

    @SuppressWarnings("unchecked")
    private synchronized void apply(Map<String, Object> answer, long session, long sentMs) {
        Long token = (Long) answer.get("Warrant");
        if (session != dive || token == null || token < warrant) return;
        if (token > warrant) changed = true;
        warrant = token;
        leaseFromMs = sentMs;
        for (Object call : (List<Object>) answer.get("Calls")) execute((Map<String, Object>) call);
    }

    private void execute(Map<String, Object> call) {
        String name = (String) call.get("Chore");
        long attempt = (Long) call.get("Try");
        String key = name + "#" + attempt;
        Task task = tasks.get(key);
        switch ((String) call.get("Call")) {
            case "start":
                if (task == null) {
                    tasks.put(key, begin(name, attempt));
                    changed = true;
                }
                break;
            case "halt":
                if (task != null && task.mood.equals("running")) {
                    task.mood = "exited";
                    task.cause = "stopped";
                    changed = true;
                    Site.record(id + " " + key + " stopped");
                }
                break;
            default:
                if (task != null && task.mood.equals("exited")) {
                    tasks.remove(key);
                    changed = true;
                }
        }
    }

    private Task begin(String name, long attempt) {
        Task task = new Task(name, attempt, Site.nowMs() + jobs.runMs(name));
        String job = name.substring(0, name.indexOf('/'));
        double cores = 0;
        double memoryGb = 0;
        for (Task other : tasks.values()) {
            if (!other.mood.equals("running")) continue;
            if (other.name.equals(name)) task.cause = "busy";
            String otherJob = other.name.substring(0, other.name.indexOf('/'));
            cores += jobs.cores(otherJob);
            memoryGb += jobs.memoryGb(otherJob);
        }
        if (jobs.cores(job) == null) {
            task.cause = "unknown";
        } else if (task.cause == null && (cores + jobs.cores(job) > type.cores + 1e-6
            || memoryGb + jobs.memoryGb(job) > type.memoryGb + 1e-6)) {
            task.cause = "no_room";
        }
        if (task.cause != null) task.mood = "exited";
        Site.record(id + " " + name + "#" + attempt + (task.cause == null ? " starts" : " refused: " + task.cause));
        return task;
    }
}
