import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service of PROTOCOL: keys with revisions, transactions, leases and watches. */
final class Store {
    private static final int KEPT_CHANGES = 10_000;

    private static final class Value {
        final Object value;
        final long mark;
        final long lease;

        Value(Object value, long mark, long lease) {
            this.value = value;
            this.mark = mark;
            this.lease = lease;
        }
    }

    private static final class Lease {
        final long ttlMs;
        long endsMs;

        Lease(long ttlMs) {
            this.ttlMs = ttlMs;
            this.endsMs = Site.nowMs() + ttlMs;
        }
    }

    private static final class Change {
        final String key;
        final long mark;
        final Object json;

        Change(String key, long mark, Object json) {
            this.key = key;
            this.mark = mark;
            this.json = json;
        }
    }

    private final TreeMap<String, Value> data = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Change> log = new ArrayList<>();
    private final int maxValueBytes;
    private final int maxChanges;
    private final Bucket requests;
    private final Bucket writes;
    private long firstKept = 0;
    private long tide = 0;
    private long nextLease = 1;

    /** Limits on the rate, with bursts of one second's worth. */
    private static final class Bucket {
        final double perS;
        double level;
        long lastMs = Site.nowMs();

        Bucket(double perS) {
            this.perS = perS;
            this.level = perS;
        }

        boolean take(int count) {
            long now = Site.nowMs();
            level = Math.min(perS, level + (now - lastMs) * perS / 1000);
            lastMs = now;
            if (level < count) return false;
            level -= count;
            return true;
        }
    }

    Store(double rps, double writeRps, double valueKb, int txnOps) {
        requests = new Bucket(rps);
        writes = new Bucket(writeRps);
        maxValueBytes = (int) (valueKb * 1024);
        maxChanges = txnOps;
    }

    /** Removes the keys of leases that have ended; runs in a thread of its own. */
    void expireLeases() {
        while (true) {
            Site.sleep(20);
            synchronized (this) {
                long now = Site.nowMs();
                List<Long> ended = new ArrayList<>();
                leases.forEach((id, lease) -> { if (lease.endsMs < now) ended.add(id); });
                for (long id : ended) end(id);
            }
        }
    }

    private void end(long id) {
        leases.remove(id);
        List<String> keys = new ArrayList<>();
        data.forEach((key, value) -> { if (value.lease == id) keys.add(key); });
        if (keys.isEmpty()) return;
        tide++;
        for (String key : keys) remove(key);
        notifyAll();
    }

    synchronized Object value(String key) {
        Value value = data.get(key);
        return value == null ? null : value.value;
    }

    synchronized List<String> keysUnder(String prefix) {
        List<String> keys = new ArrayList<>();
        for (String key : data.tailMap(prefix).keySet()) {
            if (!key.startsWith(prefix)) break;
            keys.add(key);
        }
        return keys;
    }

    /** Puts a key as a transaction of the service did. */
    synchronized void put(String key, Object value) {
        tide++;
        apply(Json.of("Put", key, "V", value));
        notifyAll();
    }

    Http.Answer answer(String method, String target, String body) throws InterruptedException {
        String path = target.split("\\?", 2)[0];
        Map<String, String> query = new HashMap<>();
        if (target.contains("?")) {
            for (String part : target.split("\\?", 2)[1].split("&")) {
                String[] pair = part.split("=", 2);
                query.put(pair[0], pair.length > 1 ? pair[1] : "");
            }
        }
        synchronized (this) {
            if (!requests.take(1)) return new Http.Answer(429, "{\"error\":\"too many requests\"}");
            if (path.equals("/txn")) return transact(Json.object(body));
            if (path.equals("/holds")) {
                long ttl = Json.number(Json.object(body).get("TtlMs"));
                if (ttl < 100 || ttl > 600_000) return new Http.Answer(400, "{\"error\":\"TtlMs\"}");
                long id = nextLease++;
                leases.put(id, new Lease(ttl));
                return new Http.Answer(200, "{\"Tenure\":" + id + "}");
            }
            if (path.startsWith("/holds/")) return hold(method, path);
            if (path.equals("/store")) return list(query);
            if (path.startsWith("/store/")) return get(path.substring("/store/".length()));
            if (path.equals("/watch")) return watch(query);
            return new Http.Answer(400, "{\"error\":\"no such request\"}");
        }
    }

    private Http.Answer hold(String method, String path) {
        long id = Long.parseLong(path.split("/")[2]);
        Lease lease = leases.get(id);
        if (lease == null) return new Http.Answer(404, "{\"error\":\"no such lease\"}");
        if (method.equals("DELETE")) end(id);
        else lease.endsMs = Site.nowMs() + lease.ttlMs;
        return new Http.Answer(200, "{}");
    }

    private Http.Answer get(String key) {
        Value value = data.get(key);
        if (value == null) return new Http.Answer(404, "{\"Tide\":" + tide + "}");
        Map<String, Object> json = Json.of("Key", key, "V", value.value, "Mark", value.mark);
        if (value.lease > 0) json.put("Tenure", value.lease);
        return new Http.Answer(200, Json.write(json));
    }

    private Http.Answer list(Map<String, String> query) {
        String under = query.get("Under");
        String after = query.get("After");
        int page = Math.min(1000, Integer.parseInt(query.getOrDefault("Page", "1000")));
        StringBuilder pairs = new StringBuilder();
        int count = 0;
        boolean more = false;
        for (Map.Entry<String, Value> entry : data.tailMap(after == null ? under : after, after == null).entrySet()) {
            if (!entry.getKey().startsWith(under)) break;
            String json = Json.write(
                Json.of("Key", entry.getKey(), "V", entry.getValue().value, "Mark", entry.getValue().mark));
            if (count == page || pairs.length() + json.length() > 510 * 1024) {
                more = true;
                break;
            }
            if (count++ > 0) pairs.append(',');
            pairs.append(json);
        }
        return new Http.Answer(200, "{\"Pairs\":[" + pairs + "],\"More\":" + more + ",\"Tide\":" + tide + "}");
    }

    private Http.Answer watch(Map<String, String> query) throws InterruptedException {
        String under = query.get("Under");
        long after = Long.parseLong(query.get("After"));
        long untilMs = Site.nowMs() + Math.min(60_000, Long.parseLong(query.getOrDefault("WaitMs", "0")));
        while (true) {
            if (after < firstKept) return new Http.Answer(410, "{\"error\":\"too old\"}");
            List<Object> changes = new ArrayList<>();
            for (int i = log.size() - 1; i >= 0 && log.get(i).mark > after; i--) {
                if (log.get(i).key.startsWith(under)) changes.add(0, log.get(i).json);
            }
            long leftMs = untilMs - Site.nowMs();
            if (!changes.isEmpty() || leftMs <= 0) {
                return new Http.Answer(200, Json.write(Json.of("Tide", tide, "Log", changes)));
            }
            wait(leftMs);
        }
    }

    private Http.Answer transact(Map<String, Object> request) {
        List<Object> changes = Json.list(request.get("Then"));
        List<Object> guards = Json.list(request.get("Guards"));
        if (!writes.take(changes.size())) return new Http.Answer(429, "{\"error\":\"too many changes\"}");
        if (changes.size() > maxChanges || guards.size() > 4 * maxChanges) {
            return new Http.Answer(400, "{\"error\":\"transaction too large\"}");
        }
        for (Object change : changes) {
            Map<String, Object> put = Json.map(change);
            if (put.get("Put") != null && Json.write(put.get("V")).length() > maxValueBytes) {
                return new Http.Answer(400, "{\"error\":\"value too large\"}");
            }
            if (put.get("Tenure") != null && !leases.containsKey(Json.number(put.get("Tenure")))) {
                return new Http.Answer(400, "{\"error\":\"no such lease\"}");
            }
        }
        List<Object> failed = new ArrayList<>();
        for (Object guard : guards) {
            String key = (String) Json.map(guard).get("Key");
            long mark = data.containsKey(key) ? data.get(key).mark : 0;
            if (mark != Json.number(Json.map(guard).get("Mark"))) failed.add(key);
        }
        if (!failed.isEmpty()) return new Http.Answer(409, Json.write(Json.of("failed", failed, "Tide", tide)));
        if (!changes.isEmpty()) tide++;
        for (Object change : changes) apply(Json.map(change));
        notifyAll();
        return new Http.Answer(200, "{\"Tide\":" + tide + "}");
    }

    private void apply(Map<String, Object> change) {
        String key = (String) change.get("Put");
        if (key == null) {
            remove((String) change.get("Remove"));
            return;
        }
        Object lease = change.get("Tenure");
        data.put(key, new Value(change.get("V"), tide, lease == null ? 0 : Json.number(lease)));
        keep(new Change(key, tide, Json.of("Put", key, "V", change.get("V"), "Mark", tide)));
    }

    private void remove(String key) {
        if (data.remove(key) != null) keep(new Change(key, tide, Json.of("Remove", key, "Mark", tide)));
    }

    private void keep(Change change) {
        log.add(change);
        if (log.size() <= 2 * KEPT_CHANGES) return;
        firstKept = log.get(log.size() - KEPT_CHANGES).mark;
        log.subList(0, log.size() - KEPT_CHANGES).clear();
    }
}
