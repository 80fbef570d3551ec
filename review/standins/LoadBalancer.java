import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The load balancer of PROTOCOL: which controllers are healthy by GET /ready, probed once a second. */
final class LoadBalancer {
    private static final class Node {
        boolean healthy;
        boolean everHealthy;
        int failures;
        int successes;
        int removals;
        long pauseUntilMs;
        long lastRemovalMs = -1_000_000;
    }

    private final Site site;
    private final Map<String, Node> nodes = new HashMap<>();

    LoadBalancer(Site site) {
        this.site = site;
        for (String label : site.labels) {
            Node node = new Node();
            nodes.put(label, node);
            Http.daemon(() -> {
                while (true) {
                    Http.Message answer = Http.once(site.ports.get(label), "GET", "/ready", null, 1_000);
                    probed(node, answer != null && answer.status() == 200);
                    Thread.sleep(1_000);
                }
            });
        }
    }

    private synchronized void probed(Node node, boolean success) {
        long now = Site.nowMs();
        node.failures = success ? 0 : node.failures + 1;
        node.successes = success ? node.successes + 1 : 0;
        if (node.healthy && node.failures >= 2) {
            node.healthy = false;
            node.removals = now - node.lastRemovalMs < 120_000 ? node.removals + 1 : 1;
            node.lastRemovalMs = now;
            node.pauseUntilMs = now + Math.min(60_000, 3_000L << (node.removals - 1));
        } else if (!node.healthy && now >= node.pauseUntilMs && node.successes >= (node.everHealthy ? 2 : 1)) {
            node.healthy = true;
            node.everHealthy = true;
        }
    }

    /**
     * Returns a random healthy controller that accepts a connection, of up to three that are tried, or null. Like the
     * load balancer it opens no connection for it beforehand: a refused one is found by the process that has ended.
     */
    synchronized String choose() {
        List<String> healthy = new ArrayList<>();
        nodes.forEach((label, node) -> {
            if (node.healthy) healthy.add(label);
        });
        Collections.shuffle(healthy);
        return healthy.stream().limit(3).filter(site::isAlive).findFirst().orElse(null);
    }
}
