package io.otterknot.cluster

import io.otterknot.testing.ClusterScenario
import io.otterknot.testing.LEASE_S
import io.otterknot.testing.SimulatedCluster
import io.otterknot.wire.Priority
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Combinations of two or more faults; where the time between them matters, each case runs with several values. */
class CombinedFailureTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `no safety rule is violated when faults combine`(case: ClusterScenario) = case.run()

    companion object {
        /**
         * Submits jobs in every partition that run so long that a cancelled one must be stopped, not just awaited.
         */
        private suspend fun SimulatedCluster.submitLongJobs(jobs: Int = 8, runS: Double = 120.0) {
            for (id in 201..200 + jobs) startUser(spec(id, 4, runS))
            delay(9_000)
        }

        private suspend fun SimulatedCluster.outage(ms: Long) {
            state.outage(true)
            delay(ms)
            state.outage(false)
        }

        private fun outageCases() = listOf(300L, 900L, 1_400L, 2_000L, 6_000L, 14_000L).map { gapMs ->
            ClusterScenario(
                "cancelled while the state service refuses one leader, then an outage beyond cancel_s after $gapMs ms",
                seeds = 1,
                defaultWorkload = false,
            ) {
                submitLongJobs()
                state.refusedNode = "holt-a"
                delay(50)
                cancelRunning(4)
                delay(gapMs)
                state.outage(true)
                delay(54_000)
                state.refusedNode = null
                state.outage(false)
            }
        }

        /** The latest possible end of a fence: the leader renewed its lease just before it lost the state service. */
        private fun afterRenewalCase() = ClusterScenario(
            "cancelled right after a lease renewal of the refused leader, which may act for the longest possible time",
            seeds = 3,
            defaultWorkload = false,
        ) {
            submitLongJobs()
            while (nowMs() - (state.lastRenewalMs["holt-a"] ?: 0) > 20) delay(5)
            delay(400)
            state.refusedNode = "holt-a"
            cancelRunning(8)
            delay(350)
            state.outage(true)
            delay(54_000)
            state.refusedNode = null
            state.outage(false)
        }

        private fun teamAtLimitCases() = listOf(200L, 1_500L, 4_000L).map { gapMs ->
            ClusterScenario(
                "a team at its limit: controllers restart $gapMs ms after cancellations, some machines get no answers",
                teamLimit = 16.0,
                seeds = 2,
                defaultWorkload = false,
            ) {
                for (id in 202..216 step 2) startUser(spec(id, 3, 30.0))
                delay(9_000)
                machines().filter { it.zone == "a" }.take(1).forEach { it.inboundBlocked = true }
                machines().filter { it.zone == "b" }.take(1).forEach { it.hang(8_000) }
                cancelRunning(3)
                delay(gapMs)
                lostReportAnswerShare = 0.5
                nodes.forEach(::restart)
                delay(20_000)
                lostReportAnswerShare = 0.0
                machines().forEach { it.inboundBlocked = false }
                delay(10_000)
            }
        }

        private fun isolatedLeaderCases() = listOf(1_000L, 8_000L, 15_000L).map { gapMs ->
            ClusterScenario(
                "a leader loses state service and peers but not its workers, jobs are cancelled after $gapMs ms",
                seeds = 1,
                defaultWorkload = false,
            ) {
                submitLongJobs()
                state.refusedNode = "holt-a"
                nodesWithoutPeers.add("holt-a")
                delay(gapMs)
                cancelRunning(5)
                delay(60_000)
                state.refusedNode = null
                nodesWithoutPeers.clear()
            }
        }

        @JvmStatic
        fun cases() = outageCases() + afterRenewalCase() + teamAtLimitCases() + isolatedLeaderCases() + listOf(
            ClusterScenario(
                "the watch of a node stalls while its other requests are answered, and jobs are cancelled",
                seeds = 2,
                defaultWorkload = false,
            ) {
                // Judged by its lease renewals alone the node would keep serving workers without seeing cancellations.
                submitLongJobs()
                state.stalledWatchNode = "holt-a"
                delay(300)
                cancelRunning(6)
                delay(50_000)
                state.stalledWatchNode = null
            },
            ClusterScenario(
                "a node loses its lease and acquires another while its watch is stalled",
                seeds = 2,
                defaultWorkload = false,
            ) {
                submitLongJobs()
                state.stalledWatchNode = "holt-a"
                cancelRunning(4)
                crash("holt-b")
                crash("holt-c")
                delay(45_000)
                startNode("holt-b")
                startNode("holt-c")
                state.stalledWatchNode = null
            },
            ClusterScenario("answers to workers are delayed for seconds, and machines hang and resume") {
                maxAnswerDelayMs = 5_500
                machines().take(3).forEach { it.hang(6_000) }
                delay(20_000)
                cancelRunning(2)
                delay(10_000)
                maxAnswerDelayMs = 0
            },
            ClusterScenario(
                "controllers are paused for up to two leases, timers and renewals run late, and jobs are cancelled",
            ) {
                submitLongJobs()
                repeat(10) {
                    pause(nodes.random(random), 500 + random.nextLong(20_000))
                    delay(random.nextLong(3_000))
                    cancelRunning(2)
                    delay(2_000 + random.nextLong(6_000))
                }
                nodes.forEach { pause(it, 12_000) }
                delay(25_000)
            },
            ClusterScenario("controllers are paused during a failover, with a burst of jobs") {
                for (id in 201..216) startUser(spec(id, 1 + id % 8, 3.0))
                crash("holt-a")
                delay(3_000)
                pause("holt-b", 6_000)
                startNode("holt-a")
                delay(4_000)
                pause("holt-a", 8_000)
                cancelRunning(3)
                crash("holt-c")
                delay(12_000)
                startNode("holt-c")
                delay(10_000)
            },
            ClusterScenario("transactions are applied 2 to 12 s late, after newer ones of the same node") {
                state.delayedTransactionShare = 0.3
                for (id in 201..216) {
                    startUser(spec(id, 1 + id % 3, 2.0), if (id % 3 == 0) 2_000 else null)
                    delay(1_500)
                }
                cancelRunning(4)
                delay(20_000)
                state.delayedTransactionShare = 0.0
            },
            ClusterScenario(
                "late transactions during failovers, with a team at its limit",
                teamLimit = 16.0,
            ) {
                state.delayedTransactionShare = 0.3
                repeat(6) {
                    restart(nodes[it % 3])
                    delay(4_000)
                }
                delay(15_000)
                state.delayedTransactionShare = 0.0
            },
            ClusterScenario("tasks of one job end far apart, with failovers between them", defaultWorkload = false) {
                for (id in 201..212) {
                    val spec = spec(id, 2 + id % 2, 2.0)
                    taskRunS["${spec.id}/1"] = 14.0
                    taskRunS["${spec.id}/2"] = 40.0
                    startUser(spec)
                }
                repeat(4) {
                    delay(5_000)
                    crash(nodes[it % 3])
                    delay(4_500)
                    startNode(nodes[it % 3])
                }
            },
            ClusterScenario("jobs with zone constraints lose machines", defaultWorkload = false) {
                for (id in 201..206) startUser(spec(id, 6, 6.0, zone = "a"))
                for (id in listOf(203, 210, 217, 224)) startUser(spec(id + 100, 5, 8.0).copy(sameZone = true))
                for (id in listOf(401, 402)) startUser(spec(id, 5, 6.0, spot = false).copy(spreadAcrossZones = true))
                delay(7_000)
                machines().filter { it.zone == "a" }.forEach(::reclaim)
                delay(6_000)
                machines().filter { it.zone == "b" }.forEach { it.hang(20_000) }
                restart("holt-a")
                delay(8_000)
            },
            ClusterScenario("single-zone jobs wait in a full zone while another is free", defaultWorkload = false) {
                for (id in 301..320) startUser(spec(id * 7, 2, 20.0, "bulk", Priority.BEST_EFFORT))
                delay(1_500)
                // Urgent jobs that are bound to zone a fill it for longer than any job may wait.
                for (id in listOf(401, 402, 403, 404, 407, 408, 409, 411, 412, 414, 416)) {
                    startUser(
                        spec(id, 3, 260.0, zone = "a").copy(spreadAcrossZones = false, sameZone = false),
                    )
                }
                delay(10_000)
            },
            ClusterScenario("all controllers are down for longer than a lease", defaultWorkload = false) {
                submitLongJobs(runS = 30.0)
                cancelRunning(2)
                nodes.forEach(::crash)
                delay(LEASE_S.toLong() * 1_000 + 5_000)
                nodes.forEach(::startNode)
            },
            ClusterScenario("delayed duplicate reports reach a new leader after it acted", defaultWorkload = false) {
                submitLongJobs(runS = 20.0)
                duplicateReportShare = 1.0
                for (node in nodes) {
                    crash(node)
                    machines().filter { it.zone == node.removePrefix("holt-") }.forEach { it.hang(4_000) }
                    delay(3_000)
                    startNode(node)
                    delay(9_000)
                }
                duplicateReportShare = 0.0
            },
            ClusterScenario(
                "stale reports arrive after newer ones, also from earlier epochs and attempts",
                defaultWorkload = false,
            ) {
                submitLongJobs(runS = 15.0)
                duplicateReportShare = 1.0
                repeat(3) {
                    machines().shuffled(random).take(3).forEach { it.hang(LEASE_S.toLong() * 1_000 + 2_000) }
                    delay(16_000)
                }
                duplicateReportShare = 0.0
            },
            ClusterScenario("leadership fails over and back, all controllers crash, and one restarts within a second") {
                repeat(3) {
                    crash("holt-a")
                    delay(9_000)
                    startNode("holt-a")
                    delay(9_000)
                    nodes.forEach(::crash)
                    delay(400)
                    startNode(nodes[it])
                    delay(5_000)
                    nodes.forEach(::startNode)
                    delay(2_000)
                }
            },
            ClusterScenario(
                "cancellations, polls and repeated submissions race the end of the last task",
                defaultWorkload = false,
            ) {
                onJobCompleted = { spec ->
                    scope.launch {
                        delay(random.nextLong(1_200))
                        when (random.nextInt(4)) {
                            0 -> cancel(spec)
                            1 -> submitAgain(spec)
                            else -> poll(spec)
                        }
                        poll(spec)
                        submitAgain(spec)
                    }
                }
                for (id in 201..270) {
                    startUser(spec(id, 1 + id % 3, 2.0))
                    delay(300)
                }
                delay(15_000)
            },
            ClusterScenario("ten failovers in two minutes, some of them in an outage of the state service") {
                repeat(10) {
                    val leader = partitionLeaders().values.toSet().randomOrNull(random) ?: nodes[it % 3]
                    if (it % 4 == 1) state.outage(true)
                    crash(leader)
                    delay(6_000)
                    startNode(leader)
                    delay(5_000)
                    if (it % 4 == 2) state.outage(false)
                    cancelRunning(1)
                }
                state.outage(false)
            },
            ClusterScenario("machines reach no controller for longer than their lease") {
                machines().filter { it.zone == "a" }.forEach { it.outboundBlocked = true }
                machines().filter { it.zone == "b" }.take(1).forEach { it.outboundBlocked = true }
                cancelRunning(3)
                delay(25_000)
                machines().forEach { it.outboundBlocked = false }
            },
            ClusterScenario(
                "a zone with its workers and controller is isolated for longer than a lease, and jobs are cancelled",
                defaultWorkload = false,
            ) {
                submitLongJobs()
                isolateZone("a")
                delay(1_000)
                cancelRunning(6)
                delay(50_000)
                isolateZone(null)
            },
            ClusterScenario(
                "two leaders crash while machines with long tasks hang or get no answers from the new leader",
                defaultWorkload = false,
            ) {
                submitLongJobs(runS = 40.0)
                machines().filter { it.zone == "a" }.forEach { it.inboundBlocked = true }
                machines().filter { it.zone == "b" }.take(1).forEach { it.hang(9_000) }
                crash("holt-a")
                crash("holt-b")
                delay(3_000)
                cancelRunning(3)
                delay(25_000)
                machines().forEach { it.inboundBlocked = false }
                startNode("holt-a")
                startNode("holt-b")
            },
            ClusterScenario(
                "the state service is slow, then refuses one leader, then is unavailable",
                defaultWorkload = false,
            ) {
                submitLongJobs()
                state.requestDelayMs = 900
                delay(5_000)
                cancelRunning(2)
                state.refusedNode = "holt-a"
                delay(5_000)
                cancelRunning(2)
                delay(700)
                outage(45_000)
                state.refusedNode = null
                state.requestDelayMs = 0
            },
            ClusterScenario("urgent and best-effort jobs exceed the capacity, and answers to workers are slow") {
                maxAnswerDelayMs = 3_000
                for (id in 201..230) {
                    startUser(
                        spec(
                            id,
                            4,
                            6.0,
                            if (id % 3 == 0) {
                                "bulk"
                            } else {
                                "urgent"
                            },
                            if (id % 3 == 0) Priority.BEST_EFFORT else Priority.HIGH,
                        ),
                    )
                }
                delay(60_000)
                cancelRunning(6)
                maxAnswerDelayMs = 0
            },
            ClusterScenario("jobs are cancelled while their machines hang or get no answers", defaultWorkload = false) {
                submitLongJobs()
                machines().take(3).forEach { it.hang(9_000) }
                machines().drop(3).take(2).forEach { it.inboundBlocked = true }
                cancelRunning(8)
                delay(40_000)
                machines().forEach { it.inboundBlocked = false }
            },
        )
    }
}
