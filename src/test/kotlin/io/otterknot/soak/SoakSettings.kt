package io.otterknot.soak

import io.otterknot.testing.CANCEL_S
import io.otterknot.testing.LEASE_S

/** The settings files of the controllers of a soak run. [zoneOf] is the zone that each controller runs in. */
class SoakSettings(
    private val ports: SoakPorts,
    private val zoneOf: Map<String, String>,
    private val redCores: Double,
) {
    fun of(node: String): String = """
label = "$node"
domain = "${zoneOf.getValue(node)}"
bind = "127.0.0.1:${ports.workersAndUsers(node)}"
peer_listen = "127.0.0.1:${ports.peers(node)}"
${zoneOf.keys.filter { it != node }.joinToString("") { member(node, it) }}
[endpoints]
cloud = "127.0.0.1:${ports.cloud}"
state = "127.0.0.1:${ports.state(node)}"

[facts]
nodes = ${zoneOf.size}
zones = [${zoneOf.values.joinToString { "\"$it\"" }}]
clock_error_ms = 250.0
${team("red", redCores)}${team("blue", 0.0)}
[[facts.objectives]]
kind = "wait"
class = "urgent"
within_s = 8.0
share = 0.9

[facts.workers]
report_s = 0.8
lease_s = $LEASE_S
gang_wait_s = 45.0
gang_peer_s = 4.0
cancel_s = $CANCEL_S

[facts.state]
rps = 600.0
write_rps = 300.0
value_kb = 8.0
txn_ops = 40

[facts.cloud]
rps = 30.0
list_lag_s = 1.0

[facts.machine_limits]
core_share = 1.0
mem_mb = 147.0
fd_limit = 2000
"""

    private fun member(node: String, peer: String) = """
[[members]]
label = "$peer"
domain = "${zoneOf.getValue(peer)}"
endpoint = "127.0.0.1:${ports.peerLink(node, peer)}"
"""

    private fun team(name: String, maxCores: Double) = """
[[facts.teams]]
name = "$name"
cpus = 0.0
cpus_max = $maxCores
gpus = 0.0
gpus_max = 0.0
"""
}
