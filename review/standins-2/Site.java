import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;

/**
 * A small deployment on loopback: three controllers, started with the command of the deploy file, and stand-ins for the
 * state service, the cloud and the workers.
 */
final class Site implements AutoCloseable {
    private static final long START_NS = System.nanoTime();

    final Deployment deployment;
    final Store store;
    final Cloud cloud;
    final Map<String, Integer> ports = new LinkedHashMap<>();
    /** The jobs as users have submitted them; workers fetch the description from here. */
    final Map<String, Map<String, Object>> jobs = new ConcurrentHashMap<>();
    /** How long the tasks of a job run, in seconds, by job. */
    final Map<String, Double> runS = new ConcurrentHashMap<>();
    /** Tasks whose result exists, with the time of their completion. */
    final Map<String, Long> completedMs = new ConcurrentHashMap<>();
    /** How often a controller ended without a signal of this program, by label. */
    final Map<String, Integer> endedByItself = new ConcurrentHashMap<>();
    private final Map<String, Integer> peerPorts = new HashMap<>();
    private final Map<String, Process> processes = new HashMap<>();
    private final ConcurrentLinkedQueue<Process> all = new ConcurrentLinkedQueue<>();
    private final int statePort = Http.freePort();
    private final int cloudPort = Http.freePort();
    private final Path folder;
    private final Path repository;
    private final PrintWriter record;
    private volatile boolean closed;

    Site(Deployment deployment, Path repository, Path recordFile) throws IOException {
        this.deployment = deployment;
        this.repository = repository;
        store = new Store(deployment.stateRps, deployment.stateWriteRps, deployment.valueKb, deployment.txnOps);
        cloud = new Cloud(this);
        folder = Files.createTempDirectory("otterknot-review");
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        for (String node : deployment.nodes) {
            ports.put(node, Http.freePort());
            peerPorts.put(node, Http.freePort());
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Milliseconds since the start of this program. */
    static long nowMs() {
        return (System.nanoTime() - START_NS) / 1_000_000;
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Writes one line to the record, with the seconds since the start. */
    synchronized void note(String format, Object... values) {
        record.println(String.format("%8.3f ", nowMs() / 1000.0) + String.format(format, values));
    }

    void startServices() throws IOException {
        Http.serve(statePort, store::answer);
        Http.serve(cloudPort, cloud::answer);
        Http.THREADS.execute(store::expireLeases);
        Http.THREADS.execute(cloud::run);
    }

    void startControllers() throws IOException {
        for (String node : deployment.nodes) writeSettings(node);
        for (String node : deployment.nodes) startController(node);
    }

    /** Starts a controller and, as the platform does, starts it again some time after it has ended. */
    void startController(String node) throws IOException {
        List<String> command = new ArrayList<>();
        for (String line : Files.readAllLines(repository.resolve("deploy/service.toml"))) {
            if (!line.startsWith("run = ")) continue;
            command.addAll(List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" ")));
        }
        command.add(folder.resolve(node + ".toml").toString());
        File log = folder.resolve(node + ".log").toFile();
        ProcessBuilder builder = new ProcessBuilder(command).directory(repository.toFile());
        builder.environment().put("LOG_LEVEL", "info");
        builder.redirectError(ProcessBuilder.Redirect.appendTo(log)).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        Process process = builder.start();
        all.add(process);
        synchronized (processes) {
            processes.put(node, process);
        }
        note("controller %s started, pid %d", node, process.pid());
        process.onExit().thenRun(() -> ended(node, process));
    }

    private void ended(String node, Process process) {
        if (closed) return;
        boolean wasKilled;
        synchronized (processes) {
            wasKilled = processes.get(node) != process;
        }
        note("controller %s ended with code %d%s", node, process.exitValue(), wasKilled ? " after kill" : " BY ITSELF");
        if (wasKilled) return;
        endedByItself.merge(node, 1, Integer::sum);
        sleep(deployment.restartMs);
        if (closed) return;
        try {
            startController(node);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Kills a controller without a signal that it could handle. */
    void kill(String node) {
        Process process;
        synchronized (processes) {
            process = processes.remove(node);
        }
        if (process != null) process.destroyForcibly();
        note("controller %s killed", node);
    }

    boolean isReady(String node) {
        Http.Answer answer = Http.call(ports.get(node), "GET", "/ready", null, 1000);
        return answer != null && answer.status == 200;
    }

    /** Waits until all controllers are ready; returns false if they are not in time. */
    boolean awaitReady(long limitMs) {
        long untilMs = nowMs() + limitMs;
        while (nowMs() < untilMs) {
            if (deployment.nodes.stream().allMatch(this::isReady)) return true;
            sleep(200);
        }
        return false;
    }

    /** Submits a job as a user does: again after 1 s until it is accepted or refused; returns the last status. */
    int submit(Map<String, Object> job, double seconds, long limitMs) {
        return submit(job, seconds, limitMs, 0);
    }

    /** The same, at the controller with this index first. */
    int submit(Map<String, Object> job, double seconds, long limitMs, int first) {
        String id = (String) job.get("Uid");
        jobs.put(id, job);
        runS.put(id, seconds);
        long untilMs = nowMs() + limitMs;
        int next = first;
        while (true) {
            String node = deployment.nodes.get(next++ % deployment.nodes.size());
            Http.Answer answer = Http.call(ports.get(node), "POST", "/submissions", Json.write(job), 5000);
            note("user submits %s at %s: %s", id, node, answer == null ? "no answer" : answer.status + " " + answer.text);
            int status = answer == null ? 0 : answer.status;
            if (status == 200 || status == 201 || status == 400 || status == 422) return status;
            if (nowMs() > untilMs) return status;
            sleep(1000);
        }
    }

    /** Asks one controller about a job; returns its answer or null. */
    Http.Answer ask(String node, String id) {
        return Http.call(ports.get(node), "GET", "/submissions/" + id, null, 2000);
    }

    /** Asks all controllers at once; returns an answer with 200 or 404, or null if there is none. */
    Http.Answer askAny(String id) {
        List<Future<Http.Answer>> answers = new ArrayList<>();
        for (String node : deployment.nodes) answers.add(Http.THREADS.submit(() -> ask(node, id)));
        Http.Answer found = null;
        for (Future<Http.Answer> pending : answers) {
            try {
                Http.Answer answer = pending.get();
                if (answer != null && (answer.status == 200 || answer.status == 404)) found = answer;
            } catch (InterruptedException | ExecutionException e) {
                throw new IllegalStateException(e);
            }
        }
        return found;
    }

    /** The state of a job as some controller reports it, or null without an answer. */
    String mood(String id) {
        Http.Answer answer = askAny(id);
        if (answer == null || answer.status != 200) return null;
        return (String) Json.object(answer.text).get("Mood");
    }

    /** Writes the settings file of a controller, which reads it when it starts. */
    void writeSettings(String node) throws IOException {
        String text = deployment.settings(node, ports, peerPorts, cloudPort, statePort);
        Files.writeString(folder.resolve(node + ".toml"), text);
    }

    /** The cores that the tasks of a team use on all machines. */
    double coresInUse(String team) {
        return cloud.workers().stream().mapToDouble(it -> it.coresInUse(team)).sum();
    }

    /** Copies the lines of the controllers' logs that contain one of the words to the record. */
    void noteLogs(String... words) {
        for (String node : deployment.nodes) {
            try {
                int count = 0;
                for (String line : Files.readAllLines(folder.resolve(node + ".log"))) {
                    for (String word : words) {
                        if (line.contains(word) && count++ < 12) note("log of %s: %s", node, line);
                    }
                }
            } catch (IOException e) {
                note("no log of %s: %s", node, e);
            }
        }
    }

    /** Ends all processes and removes the temporary folder. */
    @Override
    public void close() {
        if (closed) return;
        closed = true;
        for (Process process : all) process.destroyForcibly();
        for (Process process : all) process.onExit().join();
        cloud.stop();
        if (System.getenv("KEEP_LOGS") != null) {
            System.err.println("logs: " + folder);
            return;
        }
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.err.println(e);
        }
    }
}
