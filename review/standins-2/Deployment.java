import java.util.List;
import java.util.Map;

/** The values of a small deployment, from its site file and the brief. */
final class Deployment {
    static final class Team {
        final String name;
        final double cpus;
        final double cpusMax;

        Team(String name, double cpus, double cpusMax) {
            this.name = name;
            this.cpus = cpus;
            this.cpusMax = cpusMax;
        }
    }

    final List<String> nodes = List.of("holt-0", "holt-1", "holt-2");
    List<String> zones;
    double reportS;
    double leaseS;
    double cancelS;
    double stateRps;
    double stateWriteRps;
    double valueKb;
    int txnOps;
    double cloudRps;
    long restartMs;
    double coreShare;
    double memoryMb;
    int sockets;
    String jobClass;
    List<Team> teams;
    List<Cloud.Type> types;

    static Deployment uwimana() {
        Deployment made = new Deployment();
        made.zones = List.of("kigali", "rubavu", "huye");
        made.reportS = 2.5;
        made.leaseS = 14.0;
        made.cancelS = 34.0;
        made.stateRps = 70.0;
        made.stateWriteRps = 25.0;
        made.valueKb = 32.0;
        made.txnOps = 20;
        made.cloudRps = 5.0;
        made.restartMs = 3_000;
        made.coreShare = 0.34;
        made.memoryMb = 268.0;
        made.sockets = 1800;
        made.jobClass = "permit-check";
        made.teams = List.of(
            new Team("kivu-branches", 296.0, 1104.0),
            new Team("akagera-desk", 296.0, 664.0),
            new Team("head-registry", 368.0, 1104.0));
        made.types = List.of(
            new Cloud.Type("isambaza", 16, 128, 30, 0.3, 1.16, 0.44, 15),
            new Cloud.Type("ingagi", 32, 128, 80, 0.8, 2.0, 0.71, 40));
        return made;
    }

    static Deployment wisniewski() {
        Deployment made = new Deployment();
        made.zones = List.of("krakow", "poznan", "gdansk", "lodz");
        made.reportS = 0.8;
        made.leaseS = 10.0;
        made.cancelS = 35.0;
        made.stateRps = 150.0;
        made.stateWriteRps = 50.0;
        made.valueKb = 8.0;
        made.txnOps = 40;
        made.cloudRps = 3.0;
        made.restartMs = 6_000;
        made.coreShare = 0.102;
        made.memoryMb = 181.0;
        made.sockets = 700;
        made.jobClass = "ocenianie";
        made.teams = List.of(new Team("zespol-oceniania", 0.0, 0.0));
        made.types = List.of(new Cloud.Type("kruk", 16, 128, 60, 0.3, 1.2, 0.37, 20));
        return made;
    }

    /** A job of the deployment's first class and the named team. */
    Map<String, Object> job(String id, String team, int tasks, double cores, double memoryGb) {
        return Json.of(
            "Uid", id, "Ilk", jobClass, "Crew", team, "Sort", "sweep", "Rank", "high", "Chores", tasks,
            "Cores", cores, "Cards", 0.0, "MemoryGb", memoryGb, "Pelt", "img-07", "SizeGb", 0.3, "Breeds", null,
            "Reach", null, "SamePlace", false, "Scatter", false, "Driftwood", false, "GuessS", 5.0, "CacheS", 0.0,
            "StashS", 0.0, "DueS", null);
    }

    /** The settings file of a controller. */
    String settings(
        String node, Map<String, Integer> ports, Map<String, Integer> peerPorts, int cloudPort, int statePort) {
        StringBuilder text = new StringBuilder();
        text.append("label = \"" + node + "\"\n");
        text.append("domain = \"" + domain(node) + "\"\n");
        text.append("bind = \"127.0.0.1:" + ports.get(node) + "\"\n");
        text.append("peer_listen = \"127.0.0.1:" + peerPorts.get(node) + "\"\n");
        for (String other : nodes) {
            if (other.equals(node)) continue;
            text.append("[[members]]\nlabel = \"" + other + "\"\n");
            text.append("domain = \"" + domain(other) + "\"\n");
            text.append("endpoint = \"127.0.0.1:" + peerPorts.get(other) + "\"\n");
        }
        text.append("[endpoints]\ncloud = \"127.0.0.1:" + cloudPort + "\"\nstate = \"127.0.0.1:" + statePort + "\"\n");
        text.append("[facts]\nnodes = " + nodes.size() + "\nzones = " + Json.write(zones) + "\n");
        text.append("clock_error_ms = 100.0\n");
        for (Team team : teams) {
            text.append("[[facts.teams]]\nname = \"" + team.name + "\"\ncpus = " + team.cpus + "\ncpus_max = ");
            text.append(team.cpusMax + "\ngpus = 0.0\ngpus_max = 0.0\n");
        }
        text.append("[[facts.objectives]]\nkind = \"wait\"\nclass = \"" + jobClass + "\"\nwithin_s = 12.0\nshare = 0.78\n");
        text.append("[[facts.objectives]]\nkind = \"finished\"\nclass = \"" + jobClass + "\"\n");
        text.append("within_s = 70.0\nshare = 0.95\n");
        text.append("[facts.workers]\nreport_s = " + reportS + "\nlease_s = " + leaseS + "\n");
        text.append("gang_wait_s = 30.0\ngang_peer_s = 4.0\ncancel_s = " + cancelS + "\n");
        text.append("[facts.state]\nrps = " + stateRps + "\nwrite_rps = " + stateWriteRps + "\n");
        text.append("value_kb = " + valueKb + "\ntxn_ops = " + txnOps + "\n");
        text.append("[facts.cloud]\nrps = " + cloudRps + "\nlist_lag_s = 4.0\n");
        text.append("[facts.machine_limits]\ncore_share = " + coreShare + "\nmem_mb = " + memoryMb);
        text.append("\nfd_limit = " + sockets + "\n");
        return text.toString();
    }

    private String domain(String node) {
        return zones.get(nodes.indexOf(node));
    }
}
