import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The cloud of PROTOCOL: machine types, rentals by name of the request, releases and the list of machines. */
final class Cloud {
    static final class Type {
        final String name;
        final double cores;
        final double memoryGb;
        final List<String> zones;
        final double rate;
        final double spotPrice;
        final double readyS;
        final double pullGbPerS;

        Type(String name, double cores, double memoryGb, List<String> zones, double rate, double spotPrice,
            double readyS, double pullGbPerS) {
            this.name = name;
            this.cores = cores;
            this.memoryGb = memoryGb;
            this.zones = zones;
            this.rate = rate;
            this.spotPrice = spotPrice;
            this.readyS = readyS;
            this.pullGbPerS = pullGbPerS;
        }
    }

    private final Site site;
    private final Map<String, List<String>> rentals = new LinkedHashMap<>();
    final List<Type> types = new ArrayList<>();
    final Map<String, Worker> workers = new LinkedHashMap<>();
    private int lastMachine = 0;

    /** How many ordinary machines of a type may exist in a zone, by "TYPE ZONE"; none where there is no entry. */
    final Map<String, Integer> capacity = new LinkedHashMap<>();

    Cloud(Site site) {
        this.site = site;
    }

    int serve() throws java.io.IOException {
        return Http.serve(this::handle);
    }

    /** Starts a machine that is up at once. */
    Worker boot(Type type, String zone) {
        return boot(type, zone, false, 0);
    }

    /** Starts a spot machine that is up at once. */
    Worker bootSpot(Type type, String zone) {
        return boot(type, zone, true, 0);
    }

    /** Starts a machine that is up after some time. */
    private synchronized Worker boot(Type type, String zone, boolean spot, double afterS) {
        String id = String.format("m-%06d", ++lastMachine);
        Worker worker = new Worker(site, id, type, zone, spot, afterS);
        workers.put(id, worker);
        worker.start();
        return worker;
    }

    /** The machine stops with all that is on it; it is shown as running for about 30 s and then as failed. */
    synchronized void fail(Worker worker) {
        Site.record("machine " + worker.id + " (" + worker.type.name + ", " + worker.zone + ") stops");
        worker.end();
    }

    /** The cloud no longer offers a type; machines of it that are rented stay. */
    synchronized void retire(Type type) {
        Site.record("cloud: type " + type.name + " is no longer offered");
        types.remove(type);
    }

    /** The cloud takes a spot machine back without notice; it is not listed any more. */
    synchronized void take(Worker worker) {
        Site.record("machine " + worker.id + " (" + worker.type.name + ", spot, " + worker.zone + ") is taken back");
        workers.remove(worker.id);
        worker.end();
    }

    synchronized List<Worker> all() {
        return new ArrayList<>(workers.values());
    }

    private Type type(String name) {
        return types.stream().filter(t -> t.name.equals(name)).findFirst().orElse(null);
    }

    private synchronized Http.Answer handle(String method, String target, String body) throws InterruptedException {
        if (target.equals("/flavors")) {
            List<Object> breeds = new ArrayList<>();
            for (Type type : types) {
                breeds.add(Json.of("Name", type.name, "Cores", type.cores, "Cards", 0.0, "MemoryGb", type.memoryGb,
                    "LocalGb", 30.0, "PullGbPerS", type.pullGbPerS, "Rate", type.rate, "SpotPrice", type.spotPrice,
                    "ReadyS", type.readyS, "Reaches", type.zones));
            }
            return new Http.Answer(200, Json.write(Json.of("Breeds", breeds)));
        }
        if (target.equals("/machines/release")) {
            for (Object id : (List<?>) Json.object(body).get("Holts")) {
                Worker worker = workers.remove(id);
                if (worker != null) worker.end();
                Site.record("cloud: " + id + " released");
            }
            return new Http.Answer(200, "{}");
        }
        if (method.equals("POST")) return rent(Json.object(body));
        List<Object> listed = new ArrayList<>();
        if (!target.contains("After=")) {
            for (Worker worker : workers.values()) {
                listed.add(Json.of("Uid", worker.id, "Endpoint", "127.0.0.1:9", "Breed", worker.type.name, "Reach",
                    worker.zone, "Driftwood", worker.spot, "Mood", worker.mood(), "HeldS",
                    (Site.nowMs() - worker.rentedMs) / 1000.0));
            }
        }
        return new Http.Answer(200, Json.write(Json.of("Holts", listed, "More", false)));
    }

    private Http.Answer rent(Map<String, Object> request) {
        String bid = (String) request.get("Bid");
        List<String> rented = rentals.get(bid);
        if (rented == null) {
            rented = new ArrayList<>();
            Type type = type((String) request.get("Breed"));
            String zone = (String) request.get("Reach");
            int limit = capacity.getOrDefault(type.name + " " + zone, 0);
            boolean spot = (Boolean) request.get("Driftwood");
            long present =
                workers.values().stream().filter(w -> w.type == type && w.zone.equals(zone) && !w.spot).count();
            long number = spot ? 0 : Math.min((Long) request.get("Number"), limit - present);
            for (long i = 0; i < number; i++) rented.add(boot(type, zone, spot, type.readyS).id);
            if (rented.isEmpty()) return new Http.Answer(503, "{\"error\":\"no capacity\"}");
            rentals.put(bid, rented);
            Site.record("cloud: rented " + rented + " " + type.name + " " + zone);
        }
        return new Http.Answer(200, Json.write(Json.of("Holts", rented)));
    }
}
