import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** The worker of one machine, as PROTOCOL describes it. */
final class Worker {
    private static final long RESPONSE_LIMIT_MS = 4_000;

    private static final class Task {
        final String name;
        final String job;
        final long attempt;
        final double cores;
        final double memoryGb;
        String mood = "fetching";
        String cause;
        long endsMs;

        Task(String name, long attempt, double cores, double memoryGb) {
            this.name = name;
            this.job = name.split("/")[0];
            this.attempt = attempt;
            this.cores = cores;
            this.memoryGb = memoryGb;
        }

        boolean isExited() {
            return mood.equals("exited");
        }
    }

    final Cloud.Machine machine;
    private final Site site;
    /** By name and attempt. */
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    /** The tasks that have not exited, by name. */
    private final Map<String, Task> active = new LinkedHashMap<>();
    private double usedCores;
    private double usedMemoryGb;
    /** When each image is on the machine. */
    private final Map<String, Long> images = new HashMap<>();
    private long dive = 1;
    private long ripple = 0;
    private long warrant = 0;
    private long leaseMs = Site.nowMs();
    private int node;
    private volatile boolean ended;
    private boolean changed;
    private long warrantChangeMs = -60_000;
    /** How many sessions ended because the lease ran out. */
    volatile int leasesLost;
    /** How many reports were refused with a status other than 200, 421 and 503, and the last such status. */
    volatile int refusedReports;
    volatile int lastRefusal;
    volatile int largestReport;
    volatile int longestLine;

    Worker(Site site, Cloud.Machine machine) {
        this.site = site;
        this.machine = machine;
        node = ThreadLocalRandom.current().nextInt(site.deployment.nodes.size());
    }

    void end() {
        ended = true;
    }

    synchronized int running() {
        return (int) tasks.values().stream().filter(it -> it.mood.equals("running")).count();
    }

    /** The names of the tasks that are on the machine, fetching their image or running. */
    synchronized List<String> activeTasks() {
        return ended ? List.of() : new ArrayList<>(active.keySet());
    }

    /** The cores of the tasks of a team that are on the machine: they have their image and have not exited. */
    synchronized double coresInUse(String team) {
        double cores = 0;
        if (ended) return cores;
        for (Task task : active.values()) {
            if (task.mood.equals("running") && team.equals(site.jobs.get(task.job).get("Crew"))) cores += task.cores;
        }
        return cores;
    }

    synchronized boolean hasRoom(double cores, double memoryGb) {
        return !ended && usedCores + cores <= machine.type.cores && usedMemoryGb + memoryGb <= machine.type.memoryGb;
    }

    /** Lets tasks go on, and ends all of them if the lease has run out. */
    synchronized void advance() {
        if (ended) return;
        long now = Site.nowMs();
        if (now - leaseMs > site.deployment.leaseS * 1000) {
            if (!tasks.isEmpty()) {
                leasesLost++;
                site.note("machine %s: lease ran out, %d tasks killed and forgotten", machine.id, tasks.size());
            }
            for (Task task : List.copyOf(active.values())) exit(task, null);
            tasks.clear();
            dive++;
            leaseMs = now;
            changed = true;
        }
        for (Task task : List.copyOf(active.values())) {
            if (now < task.endsMs) continue;
            if (task.mood.equals("fetching") && !site.completedMs.containsKey(task.name)) {
                task.mood = "running";
                task.endsMs = now + (long) (site.runS.get(task.job) * 1000);
            } else {
                exit(task, "done");
                site.completedMs.putIfAbsent(task.name, now);
            }
            changed = true;
        }
    }

    /** Reports until the machine is gone. */
    void run() {
        Site.sleep(ThreadLocalRandom.current().nextLong(500));
        synchronized (this) {
            leaseMs = Site.nowMs();
        }
        while (!ended) {
            boolean answered = report();
            long periodMs = (long) (site.deployment.reportS * 1000 * (0.75 + ThreadLocalRandom.current().nextDouble() / 2));
            long dueMs = Site.nowMs() + periodMs;
            Site.sleep(500);
            while (answered && !ended && Site.nowMs() < dueMs && !takeChanged()) Site.sleep(20);
        }
    }

    private synchronized boolean takeChanged() {
        return changed;
    }

    /** Sends one report; returns whether it was answered with 200. */
    private boolean report() {
        advance();
        String body;
        long sentDive;
        long sentMs = Site.nowMs();
        synchronized (this) {
            changed = false;
            sentDive = dive;
            body = Json.write(message());
        }
        largestReport = Math.max(largestReport, body.length());
        String label = site.deployment.nodes.get(node);
        Http.Answer answer = Http.call(site.ports.get(label), "POST", "/v1/report", body, RESPONSE_LIMIT_MS);
        if (ended) return false;
        if (answer != null && answer.status == 200 && Site.nowMs() - sentMs <= RESPONSE_LIMIT_MS) {
            longestLine = Math.max(longestLine, answer.text.length());
            apply(Json.object(answer.text), sentDive, sentMs);
            return true;
        }
        if (answer != null && answer.status != 421 && answer.status != 503) {
            refusedReports++;
            lastRefusal = answer.status;
            if (refusedReports < 5) {
                site.note("machine %s: report of %d bytes refused by %s: %d %s",
                    machine.id, body.length(), label, answer.status, answer.text);
            }
        }
        Object other = answer != null && answer.status == 421 ? Json.object(answer.text).get("AnswerTo") : null;
        if (other != null && !other.equals(label) && site.deployment.nodes.contains(other)) {
            node = site.deployment.nodes.indexOf(other);
        } else {
            node = (node + 1) % site.deployment.nodes.size();
            Site.sleep(500);
        }
        return false;
    }

    private Map<String, Object> message() {
        List<Object> chores = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> chore = Json.of("Chore", task.name, "Try", task.attempt, "Mood", task.mood);
            if (task.cause != null) chore.put("Cause", task.cause);
            chores.add(chore);
        }
        return Json.of(
            "Holt", machine.id, "Endpoint", "127.0.0.1:9", "Breed", machine.type.name, "Reach", machine.zone,
            "Driftwood", machine.spot, "Dive", dive, "Ripple", ++ripple, "Warrant", warrant, "WarningS", null,
            "Chores", chores);
    }

    private synchronized void apply(Map<String, Object> answer, long sentDive, long sentMs) {
        advance();
        if (sentDive != dive || answer.get("Warrant") == null) return;
        long token = Json.number(answer.get("Warrant"));
        if (token < warrant) return;
        if (token > warrant && Site.nowMs() - warrantChangeMs > site.deployment.leaseS * 500) {
            warrantChangeMs = Site.nowMs();
            changed = true;
        }
        warrant = token;
        leaseMs = sentMs;
        for (Object command : Json.list(answer.get("Calls"))) execute(Json.map(command));
    }

    private void execute(Map<String, Object> command) {
        String name = (String) command.get("Chore");
        long attempt = Json.number(command.get("Try"));
        String key = name + "#" + attempt;
        Task task = tasks.get(key);
        switch ((String) command.get("Call")) {
            case "start":
                if (task == null) {
                    tasks.put(key, start(name, attempt));
                    changed = true;
                }
                break;
            case "halt":
                // No job of these cases has checkpoints, so every task exits at once.
                if (task != null && !task.isExited()) {
                    exit(task, "stopped");
                    changed = true;
                }
                break;
            case "forget":
                if (task != null && task.isExited()) tasks.remove(key);
                break;
            default:
                throw new IllegalArgumentException("command " + command);
        }
    }

    private Task start(String name, long attempt) {
        Map<String, Object> job = site.jobs.get(name.split("/")[0]);
        Task task = new Task(name, attempt, job == null ? 0 : number(job, "Cores"), job == null ? 0 : number(job, "MemoryGb"));
        boolean hasRoom = usedCores + task.cores <= machine.type.cores + 1e-6
            && usedMemoryGb + task.memoryGb <= machine.type.memoryGb + 1e-6;
        if (job == null) refuse(task, "unknown");
        else if (active.containsKey(name)) refuse(task, "busy");
        else if (!hasRoom) refuse(task, "no_room");
        else {
            long fetchMs = (long) (number(job, "SizeGb") / machine.type.pullGbPerS * 1000);
            task.endsMs = images.computeIfAbsent((String) job.get("Pelt"), it -> Site.nowMs() + fetchMs);
            active.put(name, task);
            usedCores += task.cores;
            usedMemoryGb += task.memoryGb;
        }
        return task;
    }

    private static double number(Map<String, Object> job, String field) {
        return ((Number) job.get(field)).doubleValue();
    }

    private void exit(Task task, String cause) {
        task.mood = "exited";
        task.cause = cause;
        active.remove(task.name);
        usedCores -= task.cores;
        usedMemoryGb -= task.memoryGb;
    }

    private static void refuse(Task task, String cause) {
        task.mood = "exited";
        task.cause = cause;
    }
}
