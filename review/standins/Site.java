import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A site on loopback: controllers as processes of their own, started with the command of the deploy file. */
final class Site {
    private static final long STARTED_NS = System.nanoTime();
    private static PrintWriter records;

    final Path directory;
    final Store store = new Store();
    final Cloud cloud = new Cloud(this);
    final List<String> labels = new ArrayList<>();
    final List<String> zones = new ArrayList<>();
    final Map<String, Integer> ports = new LinkedHashMap<>();
    private final Map<String, Integer> peerPorts = new LinkedHashMap<>();
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final int storePort;
    private final int cloudPort;

    /** Parts of the settings, as in DEPLOY. */
    String teams = "";
    double reportS = 0.8;
    double leaseS = 10.0;
    double cancelS = 35.0;
    double rps = 150.0;
    double writeRps = 50.0;
    double valueKb = 8.0;
    int txnOps = 40;
    int fdLimit = 700;

    /** The content of the operators' file, or null for the one of the deploy file. */
    String operators;

    Site(List<String> zones, int controllers) throws IOException {
        directory = Files.createTempDirectory("otterknot-review");
        this.zones.addAll(zones);
        storePort = store.serve();
        cloudPort = cloud.serve();
        for (int i = 0; i < controllers; i++) {
            String label = "holt-" + i;
            labels.add(label);
            ports.put(label, freePort());
            peerPorts.put(label, freePort());
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
    }

    static long nowMs() {
        return (System.nanoTime() - STARTED_NS) / 1_000_000;
    }

    /** Opens the record of a case. */
    static void open(String file) throws IOException {
        records = new PrintWriter(Files.newBufferedWriter(Path.of(file)), true);
    }

    static synchronized void record(String text) {
        String line = String.format("%7.2f %s", nowMs() / 1000.0, text);
        if (records != null) records.println(line);
    }

    static boolean hasTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private String settings(String label) {
        StringBuilder text = new StringBuilder();
        text.append("label = \"").append(label).append("\"\ndomain = \"").append(zoneOf(label)).append("\"\n");
        text.append("bind = \"127.0.0.1:").append(ports.get(label)).append("\"\n");
        text.append("peer_listen = \"127.0.0.1:").append(peerPorts.get(label)).append("\"\n");
        for (String other : labels) {
            if (other.equals(label)) continue;
            text.append("\n[[members]]\nlabel = \"").append(other).append("\"\ndomain = \"").append(zoneOf(other))
                .append("\"\nendpoint = \"127.0.0.1:").append(peerPorts.get(other)).append("\"\n");
        }
        text.append("\n[endpoints]\ncloud = \"127.0.0.1:").append(cloudPort).append("\"\nstate = \"127.0.0.1:")
            .append(storePort).append("\"\n\n[facts]\nnodes = ").append(labels.size()).append("\nzones = ")
            .append(Json.write(zones)).append("\nclock_error_ms = 250.0\n").append(teams)
            .append("\n[facts.workers]\nreport_s = ").append(reportS).append("\nlease_s = ").append(leaseS)
            .append("\ngang_wait_s = 45.0\ngang_peer_s = 4.0\ncancel_s = ").append(cancelS)
            .append("\n\n[facts.state]\nrps = ").append(rps).append("\nwrite_rps = ").append(writeRps)
            .append("\nvalue_kb = ").append(valueKb).append("\ntxn_ops = ").append(txnOps)
            .append("\n\n[facts.cloud]\nrps = 3.0\nlist_lag_s = 4.0\n\n[facts.machine_limits]\ncore_share = 0.102\n")
            .append("mem_mb = 181.0\nfd_limit = ").append(fdLimit).append("\n");
        return text.toString();
    }

    private String zoneOf(String label) {
        return zones.get(labels.indexOf(label) % zones.size());
    }

    /** Starts a controller with the run command of the deploy file; its paths are relative to the repository. */
    void start(String label) throws IOException {
        File repository = new File(System.getProperty("repository"));
        String run = Files.readAllLines(repository.toPath().resolve("deploy/service.toml")).stream()
            .filter(line -> line.startsWith("run")).findFirst().orElseThrow();
        Path settings = Files.writeString(directory.resolve(label + ".toml"), settings(label));
        List<String> command = new ArrayList<>(
            Arrays.asList(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).trim().split(" +")));
        command.add(settings.toString());
        if (operators != null) {
            Path file = Files.writeString(directory.resolve("operators.sexp"), operators);
            command.set(command.indexOf("--operators") + 1, file.toString());
        }
        ProcessBuilder builder = new ProcessBuilder(command).directory(repository);
        builder.environment().putIfAbsent("LOG_LEVEL", "info");
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(directory.resolve(label + ".log").toFile()));
        processes.put(label, builder.start());
        record(label + " started, pid " + processes.get(label).pid() + ", port " + ports.get(label));
    }

    boolean isAlive(String label) {
        return processes.get(label).isAlive();
    }

    /** The exit code of an ended process. */
    int exitCode(String label) {
        return processes.get(label).exitValue();
    }

    void signal(String label, String name) throws IOException, InterruptedException {
        record("signal " + name + " to " + label);
        new ProcessBuilder("kill", "-" + name, "" + processes.get(label).pid()).start().waitFor();
    }

    /** Ends a controller by SIGKILL. */
    void kill(String label) throws InterruptedException {
        record("kill " + label);
        processes.get(label).destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    }

    /** Waits until GET /ready answers 200; returns whether it does in time. */
    boolean awaitReady(String label, long limitMs) throws InterruptedException {
        long untilMs = nowMs() + limitMs;
        while (nowMs() < untilMs) {
            Http.Message answer = Http.once(ports.get(label), "GET", "/ready", null, 1_000);
            if (answer != null && answer.status() == 200) {
                record(label + " is ready");
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    /** The last lines of what a controller wrote to standard error. */
    List<String> logEnd(String label, int lines) throws IOException {
        List<String> all = Files.readAllLines(directory.resolve(label + ".log"));
        return all.subList(Math.max(0, all.size() - lines), all.size());
    }

    List<String> log(String label) throws IOException {
        return Files.readAllLines(directory.resolve(label + ".log"));
    }

    /** Ends all controllers and removes the temporary folder. */
    void stop() {
        processes.values().forEach(Process::destroyForcibly);
        File[] files = directory.toFile().listFiles();
        if (files != null) for (File file : files) file.delete();
        directory.toFile().delete();
    }
}
