package io.otterknot.cluster

import io.otterknot.config.LoadSpreadMode
import io.otterknot.config.LoadSpreadSettings
import io.otterknot.config.OperatorSettings
import io.otterknot.config.TeamSettings
import io.otterknot.rebalance.MoveKind
import io.otterknot.rebalance.MoveState
import io.otterknot.testing.ClusterScenario
import io.otterknot.testing.SimulatedCluster
import io.otterknot.wire.Priority
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Load spread in a whole cluster under surges of jobs and faults, with all safety checks. */
class LoadSpreadClusterTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `no safety rule is violated and every job ends`(case: ClusterScenario) = case.run()

    /** Compares the waits of a team within its guarantee during the same surge with load spread off and on. */
    @Test
    fun `load spread halves the waits of a team within its guarantee during a surge of more urgent work`() {
        val off = quietTeamWaitsMs(OperatorSettings())
        val on = quietTeamWaitsMs(LOAD_SPREAD_ON)
        assertTrue(on.size == off.size, "${on.size} tasks started with load spread, ${off.size} without")
        val (before, after) = percentile(off, 0.95) to percentile(on, 0.95)
        assertTrue(
            after < before / 2,
            "95th percentile wait of team blue: $after ms with load spread, $before ms without",
        )
    }

    private fun quietTeamWaitsMs(operators: OperatorSettings): List<Long> {
        var waits = emptyList<Long>()
        surgeCase("a surge", operators) {
            surge("red", count = 300)
            repeat(8) {
                startUser(spec(900 + it, 2, 3.0, priority = Priority.NORMAL, team = "blue"))
                delay(2_500)
            }
            while (!allTerminal()) delay(1_000)
            waits = checks.taskWaitsMs("blue")
        }.run()
        return waits
    }

    private fun percentile(values: List<Long>, share: Double) = values.sorted()[((values.size - 1) * share).toInt()]

    companion object {
        private val LOAD_SPREAD_ON = OperatorSettings(LoadSpreadSettings(LoadSpreadMode.ACT, anyPriority = true))
        private val TEAMS = listOf(TeamSettings("red", cpus = 24.0), TeamSettings("blue", cpus = 24.0))

        private fun surgeCase(
            name: String,
            operators: OperatorSettings = LOAD_SPREAD_ON,
            seeds: Long = 1,
            defaultWorkload: Boolean = false,
            injectFaults: suspend SimulatedCluster.() -> Unit,
        ) = ClusterScenario(
            name,
            seeds = seeds,
            defaultWorkload = defaultWorkload,
            operators = operators,
            teams = TEAMS,
            injectFaults = injectFaults,
        )

        private fun SimulatedCluster.surge(team: String, count: Int, firstId: Int = 1_000, runS: Double = 6.0) {
            for (id in firstId until firstId + count) startUser(spec(id, 1, runS, team = team, zone = null))
        }

        /** A surge of team red and a few jobs of team blue, with [injectFaults] called 4 s after the surge. */
        private fun faultCase(name: String, seeds: Long = 2, injectFaults: suspend SimulatedCluster.() -> Unit) =
            surgeCase(name, seeds = seeds, defaultWorkload = true) {
                surge("red", count = 120)
                scope.launch {
                    repeat(6) {
                        startUser(spec(900 + it, 2, 3.0, priority = Priority.NORMAL, team = "blue"))
                        delay(3_000)
                    }
                }
                delay(4_000)
                injectFaults()
            }

        @JvmStatic
        fun cases() = listOf(
            surgeCase("a thousand urgent one-task jobs at the same time") {
                surge("red", count = 1_000, runS = 3.0)
                repeat(10) {
                    startUser(spec(900 + it, 2, 3.0, priority = Priority.NORMAL, team = "blue"))
                    delay(3_000)
                }
            },
            surgeCase("long tasks are stopped so that a team gets its guarantee", seeds = 2) {
                surge("red", count = 120, runS = 150.0)
                delay(40_000)
                repeat(4) {
                    startUser(spec(900 + it, 1, 3.0, priority = Priority.NORMAL, team = "blue"))
                    delay(6_000)
                }
                val waits = checks.taskWaitsMs("blue")
                if (waits.size < 4 || waits.max() > 25_000) violations.add("tasks of team blue waited for $waits ms")
            },
            surgeCase("two teams surge alternately and the number of moves stays bounded", seeds = 2) {
                for (turn in 0 until 6) {
                    surge(if (turn % 2 == 0) "red" else "blue", count = 40, firstId = 1_000 + turn * 100)
                    delay(8_000)
                }
                while (!allTerminal()) delay(1_000)
                val handovers = moveEnds(MoveKind.REASSIGNMENT, MoveState.PLACED)
                val stops = moveEnds(MoveKind.STOP, MoveState.PLACED)
                if (handovers > 120 || stops > 48) violations.add("oscillation: $handovers handovers and $stops stops")
            },
            faultCase("leaders crash repeatedly during moves") {
                repeat(3) {
                    crash(nodes[it])
                    delay(1_500)
                    startNode(nodes[it])
                    delay(5_000)
                }
            },
            faultCase("all controllers crash") {
                nodes.forEach(::crash)
                delay(200)
                nodes.forEach(::startNode)
                delay(10_000)
            },
            faultCase("jobs are cancelled while they are moved") {
                repeat(8) {
                    cancelRunning(6)
                    delay(900)
                }
            },
            faultCase("jobs are cancelled at the end of their last task") {
                onJobCompleted = { if (random.nextInt(3) == 0) cancel(it) }
                delay(15_000)
                onJobCompleted = {}
            },
            faultCase("machines hang and resume before or after their lease expires") {
                machines().forEachIndexed { index, worker -> if (index % 2 == 0) worker.hang(4_000L + 3_000 * index) }
                delay(25_000)
            },
            faultCase("late duplicate reports and lost answers to workers") {
                duplicateReportShare = 0.3
                lostReportAnswerShare = 0.1
                delay(25_000)
                duplicateReportShare = 0.0
                lostReportAnswerShare = 0.0
            },
            faultCase("the state service is unavailable during moves") {
                state.outage(true)
                delay(15_000)
                state.outage(false)
            },
            faultCase("transactions are applied late and their answers are lost") {
                state.delayedTransactionShare = 0.3
                delay(20_000)
                state.delayedTransactionShare = 0.0
            },
            faultCase("the target partition loses its machines and its leader") {
                machines().filter { it.zone == "b" }.forEach(::reclaim)
                crash("holt-b")
                delay(8_000)
                startNode("holt-b")
            },
            faultCase("each controller is paused for 6 s") {
                for (node in nodes) {
                    pause(node, 6_000)
                    delay(7_000)
                }
            },
            faultCase("one controller runs the previous version") {
                previousVersionNodes.add("holt-c")
                restart("holt-c")
                delay(15_000)
                previousVersionNodes.clear()
                restart("holt-c")
                delay(5_000)
            },
            faultCase("a pipeline waits during the surge") {
                startUser(spec(800, 3, 2.0, team = "blue"))
                startUser(spec(801, 3, 2.0, team = "red").copy(dependencies = listOf("j-000800")))
                startUser(spec(802, 3, 2.0, team = "blue").copy(dependencies = listOf("j-000801")))
                delay(10_000)
            },
            faultCase("load spread is switched off and on during the surge") {
                for (on in listOf(false, true, false, true)) {
                    operators = if (on) LOAD_SPREAD_ON else OperatorSettings()
                    delay(5_000)
                }
            },
        )
    }
}
