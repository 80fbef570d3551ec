import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud of PROTOCOL: rents machines, whose workers start to report once they are up. */
final class Cloud {
    static final long LIST_LAG_MS = 4_000;

    static final class Type {
        final String name;
        final double cores;
        final double memoryGb;
        final double localGb;
        final double pullGbPerS;
        final double rate;
        final double spotPrice;
        final double readyS;

        Type(
            String name, double cores, double memoryGb, double localGb, double pullGbPerS, double rate,
            double spotPrice, double readyS) {
            this.name = name;
            this.cores = cores;
            this.memoryGb = memoryGb;
            this.localGb = localGb;
            this.pullGbPerS = pullGbPerS;
            this.rate = rate;
            this.spotPrice = spotPrice;
            this.readyS = readyS;
        }
    }

    static final class Machine {
        final String id;
        final Type type;
        final String zone;
        final boolean spot;
        final long rentedMs = Site.nowMs();
        long upMs;
        long goneMs = Long.MAX_VALUE;
        Worker worker;

        Machine(String id, Type type, String zone, boolean spot) {
            this.id = id;
            this.type = type;
            this.zone = zone;
            this.spot = spot;
        }
    }

    final Map<String, Type> types = new TreeMap<>();
    final TreeMap<String, Machine> machines = new TreeMap<>();
    /** Requests to rent, as sent: type, zone, kind and number. */
    final List<String> rentals = new ArrayList<>();
    /** How many machines of a type there may be in one zone, ordinary and spot alike. */
    final Map<String, Integer> capacity = new HashMap<>();
    private final Map<String, List<Object>> granted = new HashMap<>();
    private final Site site;
    private int count = 0;
    private volatile boolean stopped;

    Cloud(Site site) {
        this.site = site;
        for (Type type : site.deployment.types) {
            types.put(type.name, type);
            capacity.put(type.name, 3);
        }
    }

    /** Makes a machine that is up at once, as at the start of a day. */
    synchronized Machine boot(String type, String zone, boolean spot) {
        Machine machine = add(types.get(type), zone, spot);
        machine.upMs = Site.nowMs();
        return machine;
    }

    private Machine add(Type type, String zone, boolean spot) {
        Machine machine = new Machine(String.format("m-%06d", ++count), type, zone, spot);
        machine.upMs = Site.nowMs() + (long) (type.readyS * 1000);
        machines.put(machine.id, machine);
        return machine;
    }

    void stop() {
        stopped = true;
    }

    /** Starts the workers of machines that are up, and lets all workers go on. */
    void run() {
        while (!stopped) {
            Site.sleep(50);
            List<Worker> workers = new ArrayList<>();
            synchronized (this) {
                for (Machine machine : machines.values()) {
                    if (machine.goneMs != Long.MAX_VALUE) continue;
                    if (machine.worker == null && Site.nowMs() >= machine.upMs) {
                        machine.worker = new Worker(site, machine);
                        Worker worker = machine.worker;
                        site.note("machine %s %s %s is up", machine.id, machine.type.name, machine.zone);
                        Http.THREADS.execute(worker::run);
                    }
                    if (machine.worker != null) workers.add(machine.worker);
                }
            }
            workers.forEach(Worker::advance);
        }
    }

    synchronized List<Worker> workers() {
        List<Worker> workers = new ArrayList<>();
        for (Machine machine : machines.values()) {
            if (machine.worker != null && machine.goneMs == Long.MAX_VALUE) workers.add(machine.worker);
        }
        return workers;
    }

    /** The workers of all machines that have ever been up. */
    synchronized List<Worker> everyWorker() {
        List<Worker> workers = new ArrayList<>();
        for (Machine machine : machines.values()) if (machine.worker != null) workers.add(machine.worker);
        return workers;
    }

    /** Ends a machine with all that is on it. */
    void remove(String id, String reason) {
        Worker worker;
        synchronized (this) {
            Machine machine = machines.get(id);
            if (machine == null || machine.goneMs != Long.MAX_VALUE) return;
            machine.goneMs = Site.nowMs();
            worker = machine.worker;
        }
        if (worker != null) worker.end();
        site.note("machine %s is gone: %s", id, reason);
    }

    Http.Answer answer(String method, String target, String body) {
        if (target.equals("/flavors")) return flavors();
        if (target.equals("/machines") && method.equals("POST")) return rent(Json.object(body));
        if (target.equals("/machines/release")) {
            for (Object id : Json.list(Json.object(body).get("Holts"))) remove((String) id, "released");
            return new Http.Answer(200, "{}");
        }
        if (target.startsWith("/machines")) return list(target);
        return new Http.Answer(400, "{\"error\":\"no such request\"}");
    }

    private Http.Answer flavors() {
        List<Object> breeds = new ArrayList<>();
        for (Type type : types.values()) {
            breeds.add(Json.of(
                "Name", type.name, "Cores", type.cores, "Cards", 0.0, "MemoryGb", type.memoryGb, "LocalGb", type.localGb,
                "PullGbPerS", type.pullGbPerS, "Rate", type.rate, "SpotPrice", type.spotPrice, "ReadyS", type.readyS,
                "Reaches", site.deployment.zones));
        }
        return new Http.Answer(200, Json.write(Json.of("Breeds", breeds)));
    }

    private synchronized Http.Answer rent(Map<String, Object> request) {
        String bid = (String) request.get("Bid");
        Type type = types.get((String) request.get("Breed"));
        String zone = (String) request.get("Reach");
        boolean spot = Boolean.TRUE.equals(request.get("Driftwood"));
        long number = Json.number(request.get("Number"));
        if (type == null || !site.deployment.zones.contains(zone) || number < 1 || number > 50) {
            return new Http.Answer(400, "{\"error\":\"malformed\"}");
        }
        if (!granted.containsKey(bid)) {
            long present = machines.values().stream()
                .filter(it -> it.goneMs == Long.MAX_VALUE && it.type == type && it.zone.equals(zone) && it.spot == spot)
                .count();
            List<Object> names = new ArrayList<>();
            while (names.size() < number && present++ < capacity.get(type.name)) names.add(add(type, zone, spot).id);
            rentals.add(type.name);
            site.note("rental %s: %d of %s, %s, spot=%s: %s", bid, number, type.name, zone, spot, names);
            if (names.isEmpty()) return new Http.Answer(503, "{\"error\":\"no capacity\"}");
            granted.put(bid, names);
        }
        return new Http.Answer(200, Json.write(Json.of("Holts", granted.get(bid))));
    }

    private synchronized Http.Answer list(String target) {
        long asOfMs = Site.nowMs() - LIST_LAG_MS;
        String after = target.contains("After=") ? target.split("After=")[1].split("&")[0] : "";
        List<Object> listed = new ArrayList<>();
        boolean more = false;
        for (Machine machine : machines.tailMap(after, false).values()) {
            if (machine.rentedMs > asOfMs || machine.goneMs <= asOfMs) continue;
            if (listed.size() == 500) {
                more = true;
                break;
            }
            listed.add(Json.of(
                "Uid", machine.id, "Endpoint", "127.0.0.1:9", "Breed", machine.type.name, "Reach", machine.zone,
                "Driftwood", machine.spot, "Mood", machine.upMs <= asOfMs ? "running" : "booting",
                "HeldS", (asOfMs - machine.rentedMs) / 1000.0));
        }
        return new Http.Answer(200, Json.write(Json.of("Holts", listed, "More", more)));
    }
}
