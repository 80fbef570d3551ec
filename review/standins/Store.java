import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service of PROTOCOL, in memory. Rates are not limited unless a case sets them. */
final class Store {
    private static final class Value {
        final Object value;
        final long mark;
        final Long tenure;

        Value(Object value, long mark, Long tenure) {
            this.value = value;
            this.mark = mark;
            this.tenure = tenure;
        }
    }

    private static final class Lease {
        final long ttlMs;
        long endsMs;

        Lease(long ttlMs) {
            this.ttlMs = ttlMs;
            endsMs = Site.nowMs() + ttlMs;
        }
    }

    private static final class Change {
        final long mark;
        final String key;
        final String json;

        Change(long mark, String key, String json) {
            this.mark = mark;
            this.key = key;
            this.json = json;
        }
    }

    static final int KEPT_CHANGES = 10_000;
    static final int MAX_ITEMS = 1_000;
    static final int MAX_PAGE_BYTES = 512 * 1024;

    private final TreeMap<String, Value> data = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final ArrayList<Change> log = new ArrayList<>();
    private long droppedUpTo = 0;
    private long nextLease = 1;
    private long tide = 0;

    /**
     * Called with each transaction before it is carried out; returns 0, or after how many seconds it is carried out
     * without an answer.
     */
    java.util.function.ToDoubleFunction<Map<String, Object>> lateness = txn -> 0;

    /** Limits of the settings. */
    double writeRps = 1e9;
    int valueBytes = 8 * 1024;
    int txnOps = 40;
    private double tokens = 0;
    private long tokensMs = Site.nowMs();

    /** Bytes of all watch answers so far, the largest one, and the number of refusals by rate. */
    long largestWatchAnswer = 0;
    long refusals = 0;

    synchronized long tide() {
        return tide;
    }

    synchronized Object value(String key) {
        Value value = data.get(key);
        return value == null ? null : value.value;
    }

    /** Stores a value as an earlier transaction would have. */
    synchronized void preload(String key, Object value) {
        tide++;
        data.put(key, new Value(value, tide, null));
        droppedUpTo = tide;
    }

    /** Stores a value and shows it to the watches, as a transaction does. */
    synchronized void put(String key, Object value) {
        tide++;
        data.put(key, new Value(value, tide, null));
        log(key, Json.of("Put", key, "V", value, "Mark", tide));
        notifyAll();
    }

    int serve() throws java.io.IOException {
        return Http.serve(this::handle);
    }

    private Http.Answer handle(String method, String target, String body) throws InterruptedException {
        Thread.sleep(2);
        if (target.startsWith("/watch")) return watch(query(target));
        if (target.equals("/txn")) {
            Map<String, Object> txn = Json.object(body);
            long lateMs = (long) (lateness.applyAsDouble(txn) * 1000);
            if (lateMs > 0) {
                Thread.sleep(lateMs);
                synchronized (this) {
                    expire();
                    Site.record("state service: late transaction carried out: " + transact(txn).status);
                }
                return null;
            }
        }
        synchronized (this) {
            expire();
            if (target.equals("/txn")) return transact(Json.object(body));
            if (target.equals("/holds")) return grant(Json.object(body));
            if (target.startsWith("/holds/")) return extendOrEnd(method, target);
            if (target.startsWith("/store?")) return list(query(target));
            return get(target.substring("/store/".length()));
        }
    }

    private static Map<String, String> query(String target) {
        Map<String, String> result = new HashMap<>();
        for (String part : target.substring(target.indexOf('?') + 1).split("&")) {
            int equals = part.indexOf('=');
            result.put(part.substring(0, equals), part.substring(equals + 1));
        }
        return result;
    }

    private Http.Answer get(String key) {
        Value value = data.get(key);
        if (value == null) return new Http.Answer(404, "{\"Tide\":" + tide + "}");
        return new Http.Answer(200,
            Json.write(Json.of("Key", key, "V", value.value, "Mark", value.mark, "Tenure", value.tenure)));
    }

    private Http.Answer list(Map<String, String> query) {
        String under = query.get("Under");
        String after = query.getOrDefault("After", "");
        int limit = Math.min(MAX_ITEMS, Integer.parseInt(query.getOrDefault("Page", "1000")));
        StringBuilder pairs = new StringBuilder();
        int count = 0;
        boolean more = false;
        for (Map.Entry<String, Value> entry : data.tailMap(after.compareTo(under) > 0 ? after : under).entrySet()) {
            String key = entry.getKey();
            if (!key.startsWith(under)) break;
            if (key.equals(after)) continue;
            String item = Json.write(Json.of("Key", key, "V", entry.getValue().value, "Mark", entry.getValue().mark));
            if (count == limit || pairs.length() + item.length() > MAX_PAGE_BYTES - 100) {
                more = true;
                break;
            }
            pairs.append(count++ == 0 ? "" : ",").append(item);
        }
        return new Http.Answer(200, "{\"Pairs\":[" + pairs + "],\"More\":" + more + ",\"Tide\":" + tide + "}");
    }

    private Http.Answer grant(Map<String, Object> body) {
        leases.put(nextLease, new Lease((Long) body.get("TtlMs")));
        return new Http.Answer(200, "{\"Tenure\":" + nextLease++ + "}");
    }

    private Http.Answer extendOrEnd(String method, String target) {
        long id = Long.parseLong(target.split("/")[2]);
        Lease lease = leases.get(id);
        if (lease == null) return new Http.Answer(404, "{}");
        lease.endsMs = method.equals("DELETE") ? 0 : Site.nowMs() + lease.ttlMs;
        expire();
        return new Http.Answer(200, "{}");
    }

    @SuppressWarnings("unchecked")
    private Http.Answer transact(Map<String, Object> txn) {
        List<Map<String, Object>> then = (List<Map<String, Object>>) (List<?>) txn.get("Then");
        List<Map<String, Object>> guards = (List<Map<String, Object>>) (List<?>) txn.get("Guards");
        if (then.size() > txnOps || guards.size() > 4 * txnOps) return new Http.Answer(400, "{\"error\":\"too large\"}");
        double rate = writeRps;
        tokens = Math.min(rate, tokens + (Site.nowMs() - tokensMs) * rate / 1000);
        tokensMs = Site.nowMs();
        if (then.size() > tokens && !then.isEmpty()) {
            refusals++;
            return new Http.Answer(429, "{\"error\":\"too many changes\"}");
        }
        tokens -= then.size();
        for (Map<String, Object> change : then) {
            if (change.get("Put") == null) continue;
            if (Json.write(change.get("V")).length() > valueBytes) return new Http.Answer(400, "{\"error\":\"too large\"}");
            Long tenure = (Long) change.get("Tenure");
            if (tenure != null && !leases.containsKey(tenure)) {
                return new Http.Answer(400, "{\"error\":\"no such lease\"}");
            }
        }
        List<Object> failed = new ArrayList<>();
        for (Map<String, Object> guard : guards) {
            Value value = data.get((String) guard.get("Key"));
            if ((value == null ? 0 : value.mark) != (Long) guard.get("Mark")) failed.add(guard.get("Key"));
        }
        if (!failed.isEmpty()) return new Http.Answer(409, Json.write(Json.of("failed", failed, "Tide", tide)));
        if (!then.isEmpty()) tide++;
        for (Map<String, Object> change : then) {
            String put = (String) change.get("Put");
            if (put != null) {
                data.put(put, new Value(change.get("V"), tide, (Long) change.get("Tenure")));
                log(put, Json.of("Put", put, "V", change.get("V"), "Mark", tide));
            } else {
                remove((String) change.get("Remove"));
            }
        }
        notifyAll();
        return new Http.Answer(200, "{\"Tide\":" + tide + "}");
    }

    private void remove(String key) {
        if (data.remove(key) != null) log(key, Json.of("Remove", key, "Mark", tide));
    }

    private void log(String key, Map<String, Object> change) {
        log.add(new Change(tide, key, Json.write(change)));
        if (log.size() > 2 * KEPT_CHANGES) {
            droppedUpTo = log.get(KEPT_CHANGES - 1).mark;
            log.subList(0, KEPT_CHANGES).clear();
        }
    }

    private void expire() {
        long now = Site.nowMs();
        List<Long> ended = new ArrayList<>();
        leases.forEach((id, lease) -> {
            if (lease.endsMs < now) ended.add(id);
        });
        if (ended.isEmpty()) return;
        leases.keySet().removeAll(ended);
        for (String key : new ArrayList<>(data.keySet())) {
            Long tenure = data.get(key).tenure;
            if (tenure == null || !ended.contains(tenure)) continue;
            tide++;
            remove(key);
        }
        notifyAll();
    }

    private synchronized Http.Answer watch(Map<String, String> query) throws InterruptedException {
        String under = query.get("Under");
        long after = Long.parseLong(query.get("After"));
        long untilMs = Site.nowMs() + Long.parseLong(query.getOrDefault("WaitMs", "0"));
        while (true) {
            expire();
            long oldest = log.size() > KEPT_CHANGES ? log.get(log.size() - KEPT_CHANGES - 1).mark : droppedUpTo;
            if (after < oldest) return new Http.Answer(410, "{}");
            StringBuilder changes = new StringBuilder();
            int first = log.size();
            while (first > 0 && log.get(first - 1).mark > after) first--;
            for (Change change : log.subList(first, log.size())) {
                if (change.key.startsWith(under)) changes.append(changes.length() == 0 ? "" : ",").append(change.json);
            }
            long leftMs = untilMs - Site.nowMs();
            if (changes.length() > 0 || leftMs <= 0) {
                largestWatchAnswer = Math.max(largestWatchAnswer, changes.length());
                return new Http.Answer(200, "{\"Tide\":" + tide + ",\"Log\":[" + changes + "]}");
            }
            wait(Math.min(leftMs, 100));
        }
    }
}
