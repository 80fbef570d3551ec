package io.otterknot.cluster

import io.otterknot.testing.ClusterScenario
import io.otterknot.testing.LEASE_S
import io.otterknot.testing.SimulatedCluster
import io.otterknot.wire.Priority
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Two troubles that meet, each brought about on purpose, at several distances where the distance matters. */
class CombinedFailureTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `no rule breaks where troubles meet`(case: ClusterScenario) = case.play()

    companion object {
        /**
         * Work that is there for long, in every partition: what is called off must be ended, it does not end by itself.
         */
        private suspend fun SimulatedCluster.longWork(jobs: Int = 8, runS: Double = 120.0) {
            for (id in 201..200 + jobs) user(spec(id, 4, runS))
            delay(9_000)
        }

        private suspend fun SimulatedCluster.outage(ms: Long) {
            state.outage(true)
            delay(ms)
            state.outage(false)
        }

        private fun gaps() = listOf(300L, 900L, 1_400L, 2_000L, 6_000L, 14_000L).map { apart ->
            ClusterScenario(
                "cancelled while the state service refuses one owner alone, then it is out for longer than cancel_s: $apart ms apart",
                seeds = 1,
                mixture = false,
            ) {
                longWork()
                state.refusedFor = "holt-a"
                delay(50)
                cancelNow(4)
                delay(apart)
                state.outage(true)
                delay(54_000)
                state.refusedFor = null
                state.outage(false)
            }
        }

        /** The latest that a fence can end: just before everything is lost, the owner was told that all is well. */
        private fun gapAfterRenewal() = ClusterScenario(
            "the same right after a renewal, so that the owner may act for as long as it ever may",
            seeds = 3,
            mixture = false,
        ) {
            longWork()
            while (nowMs() - (state.renewedMs["holt-a"] ?: 0) > 20) delay(5)
            delay(400)
            state.refusedFor = "holt-a"
            cancelNow(8)
            delay(350)
            state.outage(true)
            delay(54_000)
            state.refusedFor = null
            state.outage(false)
        }

        private fun atLimit() = listOf(200L, 1_500L, 4_000L).map { apart ->
            ClusterScenario(
                "a team at its limit, its leader ends, machines can't be asked, and a job is called off $apart ms before",
                teamLimit = 16.0,
                seeds = 2,
                mixture = false,
            ) {
                for (id in 202..216 step 2) user(spec(id, 3, 30.0))
                delay(9_000)
                machines().filter { it.zone == "a" }.take(1).forEach { it.unreached = true }
                machines().filter { it.zone == "b" }.take(1).forEach { it.hang(8_000) }
                cancelNow(3)
                delay(apart)
                lostAnswers = 0.5
                nodes.forEach(::restart)
                delay(20_000)
                lostAnswers = 0.0
                machines().forEach { it.unreached = false }
                delay(10_000)
            }
        }

        private fun isolated() = listOf(1_000L, 8_000L, 15_000L).map { apart ->
            ClusterScenario(
                "a leader loses state service and peers but not its workers, and jobs are called off through the new one after $apart ms",
                seeds = 1,
                mixture = false,
            ) {
                longWork()
                state.refusedFor = "holt-a"
                peerless.add("holt-a")
                delay(apart)
                cancelNow(5)
                delay(60_000)
                state.refusedFor = null
                peerless.clear()
            }
        }

        @JvmStatic
        fun cases() = gaps() + gapAfterRenewal() + atLimit() + isolated() + listOf(
            ClusterScenario(
                "a node's watch stands still while all else that it asks is answered, and jobs are called off",
                seeds = 2,
                mixture = false,
            ) {
                // By its renewals alone it would go on answering its workers, and never learn of what was called off.
                longWork()
                state.watchless = "holt-a"
                delay(300)
                cancelNow(6)
                delay(50_000)
                state.watchless = null
            },
            ClusterScenario(
                "a node that has lost its lease gets another while its watch stands still",
                seeds = 2,
                mixture = false,
            ) {
                longWork()
                state.watchless = "holt-a"
                cancelNow(4)
                crash("holt-b")
                crash("holt-c")
                delay(45_000)
                startNode("holt-b")
                startNode("holt-c")
                state.watchless = null
            },
            ClusterScenario("answers to workers are held up for seconds, and machines go on") {
                answerMs = 5_500
                machines().take(3).forEach { it.hang(6_000) }
                delay(20_000)
                cancelNow(2)
                delay(10_000)
                answerMs = 0
            },
            ClusterScenario(
                "controllers get no turn for up to twice a lease, timers and renewals come late, jobs are called off",
            ) {
                longWork()
                repeat(10) {
                    pause(nodes.random(random), 500 + random.nextLong(20_000))
                    delay(random.nextLong(3_000))
                    cancelNow(2)
                    delay(2_000 + random.nextLong(6_000))
                }
                nodes.forEach { pause(it, 12_000) }
                delay(25_000)
            },
            ClusterScenario("a controller gets no turn in the middle of a take-over, with a burst of work") {
                for (id in 201..216) user(spec(id, 1 + id % 8, 3.0))
                crash("holt-a")
                delay(3_000)
                pause("holt-b", 6_000)
                startNode("holt-a")
                delay(4_000)
                pause("holt-a", 8_000)
                cancelNow(3)
                crash("holt-c")
                delay(12_000)
                startNode("holt-c")
                delay(10_000)
            },
            ClusterScenario("transactions are carried out 2 to 12 s late, after newer ones of the same controller") {
                state.lateWrites = 0.3
                for (id in 201..216) {
                    user(spec(id, 1 + id % 3, 2.0), if (id % 3 == 0) 2_000 else null)
                    delay(1_500)
                }
                cancelNow(4)
                delay(20_000)
                state.lateWrites = 0.0
            },
            ClusterScenario(
                "late transactions while partitions change hands, and a team is at its limit",
                teamLimit = 16.0,
            ) {
                state.lateWrites = 0.3
                repeat(6) {
                    restart(nodes[it % 3])
                    delay(4_000)
                }
                delay(15_000)
                state.lateWrites = 0.0
            },
            ClusterScenario("jobs of two and three tasks end far apart across changes of leader", mixture = false) {
                for (id in 201..212) {
                    val spec = spec(id, 2 + id % 2, 2.0)
                    runS["${spec.id}/1"] = 14.0
                    runS["${spec.id}/2"] = 40.0
                    user(spec)
                }
                repeat(4) {
                    delay(5_000)
                    crash(nodes[it % 3])
                    delay(4_500)
                    startNode(nodes[it % 3])
                }
            },
            ClusterScenario("jobs bound to one zone, arrays too, lose machines", mixture = false) {
                for (id in 201..206) user(spec(id, 6, 6.0, zone = "a"))
                for (id in listOf(203, 210, 217, 224)) user(spec(id + 100, 5, 8.0).copy(sameZone = true))
                for (id in listOf(401, 402)) user(spec(id, 5, 6.0, spot = false).copy(spreadAcrossZones = true))
                delay(7_000)
                machines().filter { it.zone == "a" }.forEach(::take)
                delay(6_000)
                machines().filter { it.zone == "b" }.forEach { it.hang(20_000) }
                restart("holt-a")
                delay(8_000)
            },
            ClusterScenario("jobs that keep to one zone wait in a full one while another has room", mixture = false) {
                for (id in 301..320) user(spec(id * 7, 2, 20.0, "bulk", Priority.BEST_EFFORT))
                delay(1_500)
                // Urgent work that may run nowhere else fills the zone for longer than anything may wait.
                for (id in listOf(401, 402, 403, 404, 407, 408, 409, 411, 412, 414, 416)) {
                    user(
                        spec(id, 3, 260.0, zone = "a").copy(spreadAcrossZones = false, sameZone = false),
                    )
                }
                delay(10_000)
            },
            ClusterScenario("all controllers are away for longer than a lease", mixture = false) {
                longWork(runS = 30.0)
                cancelNow(2)
                nodes.forEach(::crash)
                delay(LEASE_S.toLong() * 1_000 + 5_000)
                nodes.forEach(::startNode)
            },
            ClusterScenario("reports are held back until a new leader has acted, and arrive there", mixture = false) {
                longWork(runS = 20.0)
                copies = 1.0
                for (node in nodes) {
                    crash(node)
                    machines().filter { it.zone == node.removePrefix("holt-") }.forEach { it.hang(4_000) }
                    delay(3_000)
                    startNode(node)
                    delay(9_000)
                }
                copies = 0.0
            },
            ClusterScenario(
                "old reports arrive after newer ones, of earlier sessions and attempts too",
                mixture = false,
            ) {
                longWork(runS = 15.0)
                copies = 1.0
                repeat(3) {
                    machines().shuffled(random).take(3).forEach { it.hang(LEASE_S.toLong() * 1_000 + 2_000) }
                    delay(16_000)
                }
                copies = 0.0
            },
            ClusterScenario("controllers hand over and back, all end, and one returns within a second") {
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
                "cancellation, question and repeated submission meet the end of the last task",
                mixture = false,
            ) {
                onLastEnd = { spec ->
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
                    user(spec(id, 1 + id % 3, 2.0))
                    delay(300)
                }
                delay(15_000)
            },
            ClusterScenario("leaders change ten times in two minutes, also inside an outage") {
                repeat(10) {
                    val leader = owners().values.toSet().randomOrNull(random) ?: nodes[it % 3]
                    if (it % 4 == 1) state.outage(true)
                    crash(leader)
                    delay(6_000)
                    startNode(leader)
                    delay(5_000)
                    if (it % 4 == 2) state.outage(false)
                    cancelNow(1)
                }
                state.outage(false)
            },
            ClusterScenario("machines reach no controller for longer than their lease") {
                machines().filter { it.zone == "a" }.forEach { it.mute = true }
                machines().filter { it.zone == "b" }.take(1).forEach { it.mute = true }
                cancelNow(3)
                delay(25_000)
                machines().forEach { it.mute = false }
            },
            ClusterScenario(
                "a zone with workers and a controller is cut off for longer than a lease, and jobs are called off",
                mixture = false,
            ) {
                longWork()
                cut("a")
                delay(1_000)
                cancelNow(6)
                delay(50_000)
                cut(null)
            },
            ClusterScenario(
                "a leader ends while machines with long tasks can't be reached or don't hear the new one's answer",
                mixture = false,
            ) {
                longWork(runS = 40.0)
                machines().filter { it.zone == "a" }.forEach { it.unreached = true }
                machines().filter { it.zone == "b" }.take(1).forEach { it.hang(9_000) }
                crash("holt-a")
                crash("holt-b")
                delay(3_000)
                cancelNow(3)
                delay(25_000)
                machines().forEach { it.unreached = false }
                startNode("holt-a")
                startNode("holt-b")
            },
            ClusterScenario(
                "the state service answers slowly, then refuses the leader alone, then everybody",
                mixture = false,
            ) {
                longWork()
                state.slowMs = 900
                delay(5_000)
                cancelNow(2)
                state.refusedFor = "holt-a"
                delay(5_000)
                cancelNow(2)
                delay(700)
                outage(45_000)
                state.refusedFor = null
                state.slowMs = 0
            },
            ClusterScenario("more work than room, urgent and not, over slow links") {
                answerMs = 3_000
                for (id in 201..230) {
                    user(
                        spec(
                            id,
                            4,
                            6.0,
                            if (id % 3 ==
                                0
                            ) {
                                "bulk"
                            } else {
                                "urgent"
                            },
                            if (id % 3 == 0) Priority.BEST_EFFORT else Priority.HIGH,
                        ),
                    )
                }
                delay(60_000)
                cancelNow(6)
                answerMs = 0
            },
            ClusterScenario("jobs are called off whose machines hang, deaf ones too", mixture = false) {
                longWork()
                machines().take(3).forEach { it.hang(9_000) }
                machines().drop(3).take(2).forEach { it.unreached = true }
                cancelNow(8)
                delay(40_000)
                machines().forEach { it.unreached = false }
            },
        )
    }
}
