package io.otterknot.cluster

import io.otterknot.testing.ClusterScenario
import io.otterknot.wire.Priority
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** The whole service under one kind of fault per case, with all safety checks. */
class ClusterTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `no safety rule is violated and every job ends`(case: ClusterScenario) = case.run()

    companion object {
        @JvmStatic
        fun cases() = listOf(
            ClusterScenario("no fault") { },
            ClusterScenario("a team at its limit", teamLimit = 12.0) { },
            ClusterScenario("a team whose limit is too low for one task in each partition", teamLimit = 5.0) { },
            ClusterScenario("a team at its limit while controllers restart", teamLimit = 8.0) {
                for (node in nodes) {
                    crash(node)
                    delay(1_500)
                    startNode(node)
                    delay(4_000)
                }
            },
            ClusterScenario("one controller crashes and restarts after 6 s") {
                crash("holt-a")
                delay(6_000)
                startNode("holt-a")
            },
            ClusterScenario("one controller crashes repeatedly and restarts after 200 ms") {
                repeat(4) {
                    crash("holt-b")
                    delay(200)
                    startNode("holt-b")
                    delay(3_000)
                }
            },
            ClusterScenario("all controllers crash") {
                nodes.forEach(::crash)
                delay(5_000)
                nodes.forEach(::startNode)
            },
            ClusterScenario("all controllers restart while the cloud is unavailable") {
                // Without stored machine types nothing could be placed until the cloud is available again.
                cloudUnavailable = true
                nodes.forEach(::crash)
                nodes.forEach(::startNode)
                val before = starts
                delay(15_000)
                if (starts == before) violations.add("nothing_ran: no task was started while the cloud was unavailable")
                cloudUnavailable = false
            },
            ClusterScenario("one controller is down for a minute") {
                crash("holt-c")
                delay(60_000)
                startNode("holt-c")
            },
            ClusterScenario("rolling restart of all controllers") {
                for (node in nodes) {
                    crash(node)
                    delay(4_000)
                    startNode(node)
                    delay(8_000)
                }
            },
            ClusterScenario("the state service is unavailable for 20 s") {
                state.outage(true)
                delay(20_000)
                state.outage(false)
            },
            ClusterScenario(
                "the state service is unavailable for longer than any lease while all controllers restart",
            ) {
                state.outage(true)
                delay(20_000)
                nodes.forEach(::crash)
                delay(10_000)
                nodes.forEach(::startNode)
                delay(10_000)
                state.outage(false)
            },
            ClusterScenario("the state service refuses one controller") {
                state.refusedNode = "holt-a"
                delay(60_000)
                state.refusedNode = null
            },
            ClusterScenario("answers to transactions are lost and some transactions are applied late") {
                state.lostTransactionShare = 0.3
                delay(40_000)
                state.lostTransactionShare = 0.0
            },
            ClusterScenario("late transactions while controllers restart") {
                state.lostTransactionShare = 0.2
                repeat(3) {
                    crash(nodes[it])
                    delay(2_000)
                    startNode(nodes[it])
                    delay(6_000)
                }
                state.lostTransactionShare = 0.0
            },
            ClusterScenario("cancellations race completions") {
                // Without the condition on the job's version a cancellation would overwrite a job reported as done.
                state.lostTransactionShare = 0.1
                for (id in 101..160) {
                    startUser(spec(id, 1 + id % 2, 1.0), 1_000L + random.nextLong(4_000))
                    delay(100)
                }
                delay(10_000)
                state.lostTransactionShare = 0.0
            },
            ClusterScenario("machines hang and resume before or after their lease expires") {
                machines().forEachIndexed { index, worker ->
                    worker.hungUntilMs = machines().first().bootedMs + 12_000 + 5_000L * (index % 5)
                }
                delay(20_000)
            },
            ClusterScenario("machines hang while their controller restarts") {
                machines().filter { it.zone == "a" }.forEach { it.hungUntilMs = it.bootedMs + 30_000 }
                crash("holt-a")
                delay(1_000)
                startNode("holt-a")
                delay(10_000)
            },
            ClusterScenario("random combinations of faults") {
                repeat(12) {
                    val node = nodes.random(random)
                    when (random.nextInt(7)) {
                        0 -> scope.launch {
                            state.refusedNode = node
                            delay(8_000 + random.nextLong(25_000))
                            state.refusedNode = null
                        }

                        1 -> scope.launch {
                            nodesCutFromWorkers.add(node)
                            delay(2_000 + random.nextLong(25_000))
                            nodesCutFromWorkers.remove(node)
                        }

                        2 -> scope.launch {
                            crash(node)
                            delay(200 + random.nextLong(6_000))
                            startNode(node)
                        }

                        3 -> machines().shuffled(random).take(2).forEach { it.hang(3_000 + random.nextLong(25_000)) }

                        4 -> scope.launch {
                            state.lostTransactionShare = 0.3
                            delay(8_000)
                            state.lostTransactionShare = 0.0
                        }

                        5 -> scope.launch {
                            lostReportAnswerShare = 0.5
                            delay(6_000)
                            lostReportAnswerShare = 0.0
                        }

                        6 -> scope.launch {
                            state.outage(true)
                            delay(3_000 + random.nextLong(20_000))
                            state.outage(false)
                        }
                    }
                    delay(random.nextLong(8_000))
                }
                delay(30_000)
            },
            ClusterScenario("answers to some machines are lost while their reports arrive") {
                // Such a machine appears idle and would be assigned one task after another; it must be released.
                val unreachable = machines().take(2).onEach { it.inboundBlocked = true }
                delay(45_000)
                if (unreachable.any { it in machines() }) violations.add("unreachable machines were not released")
            },
            ClusterScenario("answers to machines are lost from before a failover on") {
                machines().filter { it.zone == "a" }.forEach { it.inboundBlocked = true }
                cloudUnavailable = true
                crash("holt-a")
                delay(300)
                startNode("holt-a")
                delay(30_000)
                for (id in 201..206) startUser(spec(id, 4, 2.0))
                delay(20_000)
                cloudUnavailable = false
            },
            ClusterScenario("duplicate reports arrive from 1 s to 2.5 leases late") {
                duplicateReportShare = 0.3
                delay(20_000)
                crash("holt-b")
                delay(400)
                startNode("holt-b")
                machines().take(2).forEach { it.hang(15_000) }
                delay(40_000)
                duplicateReportShare = 0.0
            },
            ClusterScenario("duplicate reports arrive while machines hang and leadership fails over") {
                duplicateReportShare = 0.5
                for (node in nodes) {
                    crash(node)
                    delay(5_000)
                    machines().shuffled(random).take(1).forEach { it.hang(25_000) }
                    startNode(node)
                    delay(8_000)
                }
                duplicateReportShare = 0.0
            },
            ClusterScenario("a controller loses the state service and its peers but not its workers") {
                state.refusedNode = "holt-a"
                nodesWithoutPeers.add("holt-a")
                delay(60_000)
                if (removals("holt-a") == 0) violations.add("the load balancer did not remove the isolated node holt-a")
                state.refusedNode = null
                nodesWithoutPeers.clear()
            },
            ClusterScenario("a controller that the state service refuses reaches it through a peer") {
                state.refusedNode = "holt-b"
                val before = starts
                for (id in 201..212) startUser(spec(id, 3, 2.0))
                delay(30_000)
                if (starts == before || nodes.any { removals(it) > 0 }) {
                    violations.add("holt-b did not stay in service through its peers")
                }
                state.refusedNode = null
            },
            ClusterScenario("the load balancer keeps all nodes in an outage of the state service") {
                state.outage(true)
                delay(18_000)
                if (nodes.any { removals(it) > 0 }) violations.add("removed from load balancing in an outage")
                state.outage(false)
            },
            ClusterScenario("restarts within 500 ms during leadership acquisition, with late transactions") {
                state.lostTransactionShare = 0.25
                repeat(8) {
                    val node = nodes.random(random)
                    crash(node)
                    delay(100 + random.nextLong(400))
                    startNode(node)
                    delay(100 + random.nextLong(3_000))
                }
                nodes.forEach(::crash)
                delay(150)
                nodes.forEach(::startNode)
                delay(500)
                nodes.forEach(::crash)
                delay(300)
                nodes.forEach(::startNode)
                delay(20_000)
                state.lostTransactionShare = 0.0
            },
            ClusterScenario("the largest jobs start under a continuous load of small jobs") {
                startUser(spec(301, 60, 5.0))
                startUser(spec(303, 120, 4.0, "bulk", Priority.BEST_EFFORT, cores = 1.0))
                // The load exceeds the capacity, so shortest-job-first scheduling would starve the largest jobs.
                for (round in 0 until 100) {
                    startUser(spec(400 + round * 2, 3 + round % 3, 6.0, cores = 4.0))
                    startUser(spec(401 + round * 2, 5, 8.0))
                    delay(2_700)
                }
            },
            ClusterScenario("two machines fail every task") {
                machines().take(2).forEach { it.failsTasks = true }
                delay(20_000)
            },
            ClusterScenario("partitions of crashed controllers fail over before their machines' leases expire") {
                delay(15_000)
                crash("holt-a")
                crash("holt-b")
                delay(9_000)
                if (partitionLeaders().values.toSet() != setOf("holt-c")) {
                    violations.add("crashed controllers still lead partitions: ${partitionLeaders()}")
                }
                startNode("holt-a")
                delay(30_000)
                if ("holt-a" !in partitionLeaders().values) {
                    violations.add("the restarted controller holt-a leads no partition: ${partitionLeaders()}")
                }
                startNode("holt-b")
            },
            ClusterScenario("a controller crashes right after it acquired a partition from a live leader") {
                // The first leader may act until its fence ends, whichever controllers acquire the partition next.
                nodesCutFromWorkers.add("holt-a")
                while (partitionLeaders()["a"] == "holt-a") delay(50)
                val successor = partitionLeaders().getValue("a")
                crash(successor)
                delay(150)
                startNode(successor)
                delay(3_000)
                crash(successor)
                delay(30_000)
                nodesCutFromWorkers.clear()
                startNode(successor)
            },
            ClusterScenario("leaders repeatedly lose the connection to their workers") {
                repeat(6) {
                    val node = nodes.random(random)
                    nodesCutFromWorkers.add(node)
                    delay(3_000 + random.nextLong(8_000))
                    nodesCutFromWorkers.remove(node)
                    if (random.nextBoolean()) {
                        crash(node)
                        delay(300)
                        startNode(node)
                    }
                    delay(random.nextLong(4_000))
                }
            },
            ClusterScenario("an isolated zone reconnects and keeps the leader that acquired it meanwhile") {
                // Its machines had no contact and now report to any node; this must not count against the new leader.
                repeat(40) { boot("a", spot = false) }
                delay(6_000)
                isolateZone("a")
                delay(60_000)
                val leader = partitionLeaders()["a"]
                isolateZone(null)
                delay(8_000)
                if (leader == "holt-a" || partitionLeaders()["a"] != leader) {
                    violations.add("the leader of partition a changed from $leader to ${partitionLeaders()["a"]}")
                }
            },
            ClusterScenario(
                "hundreds of machines: 60 are lost, all controllers crash, and again during leadership acquisition",
                capacity = 60,
            ) {
                for (zone in zones) repeat(100) { boot(zone, spot = it % 2 == 0) }
                for (id in 201..240) {
                    startUser(
                        spec(
                            id,
                            30,
                            6.0 + id % 5,
                            if (id % 3 == 0) {
                                "bulk"
                            } else {
                                "urgent"
                            },
                            if (id % 3 == 0) Priority.BEST_EFFORT else Priority.HIGH,
                        ),
                    )
                }
                delay(8_000)
                machines().filter { it.spot }.shuffled(random).take(60).forEach { reclaim(it) }
                delay(2_000)
                machines().shuffled(random).take(25).forEach { it.hang(14_000) }
                nodes.forEach(::crash)
                delay(1_000)
                nodes.forEach(::startNode)
                for (node in nodes) {
                    delay(600)
                    crash(node)
                    delay(200)
                    startNode(node)
                }
                duplicateReportShare = 0.1
                delay(20_000)
                duplicateReportShare = 0.0
            },
            ClusterScenario(
                "hundreds of machines: a leader is isolated, then all workers move to the only controller left",
                capacity = 60,
            ) {
                for (zone in zones) repeat(100) { boot(zone, spot = it % 2 == 0) }
                for (id in 201..240) startUser(spec(id, 30, 40.0 + id % 5))
                delay(16_000)
                // No message from or to holt-a arrives meanwhile, regardless of its clock.
                nodesCutFromWorkers.add("holt-a")
                nodesWithoutPeers.add("holt-a")
                state.refusedNode = "holt-a"
                delay(21_000)
                nodesCutFromWorkers.clear()
                nodesWithoutPeers.clear()
                state.refusedNode = null
                delay(3_000)
                crash("holt-a")
                crash("holt-b")
                delay(14_000)
                if (partitionLeaders().values.toSet() != setOf("holt-c")) {
                    violations.add("crashed controllers still lead partitions: ${partitionLeaders()}")
                }
                startNode("holt-a")
                startNode("holt-b")
            },
            ClusterScenario("a controller loses the connection to its workers") {
                nodesCutFromWorkers.add("holt-b")
                delay(30_000)
                nodesCutFromWorkers.clear()
            },
        )
    }
}
