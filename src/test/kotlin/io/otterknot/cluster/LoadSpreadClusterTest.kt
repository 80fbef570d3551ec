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

/** Load spread in a whole cluster, with surges and troubles, every rule watched. */
class LoadSpreadClusterTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `no rule breaks and every job ends`(case: ClusterScenario) = case.play()

    /** The same surge with load spread off and on: what a quiet team, within its guarantee, waits meanwhile. */
    @Test
    fun `a quiet team waits less beside a surge of more urgent work`() {
        val off = quietWaits(OperatorSettings())
        val on = quietWaits(ACTING)
        assertTrue(on.size == off.size, "${on.size} and ${off.size} tasks")
        val (before, after) = percentile(off, 0.95) to percentile(on, 0.95)
        assertTrue(after < before / 2, "95% of the quiet team's tasks began within $after ms, $before ms without")
    }

    private fun quietWaits(operators: OperatorSettings): List<Long> {
        var waits = emptyList<Long>()
        surgeCase("a surge", operators) {
            surge("red", count = 300)
            repeat(8) {
                user(spec(900 + it, 2, 3.0, priority = Priority.NORMAL, team = "blue"))
                delay(2_500)
            }
            while (!allOver()) delay(1_000)
            waits = rules.waitsMs("blue")
        }.play()
        return waits
    }

    private fun percentile(values: List<Long>, share: Double) = values.sorted()[((values.size - 1) * share).toInt()]

    companion object {
        private val ACTING = OperatorSettings(LoadSpreadSettings(LoadSpreadMode.ACT, anyPriority = true))
        private val TEAMS = listOf(TeamSettings("red", cpus = 24.0), TeamSettings("blue", cpus = 24.0))

        private fun surgeCase(
            name: String,
            operators: OperatorSettings = ACTING,
            seeds: Long = 1,
            mixture: Boolean = false,
            trouble: suspend SimulatedCluster.() -> Unit,
        ) = ClusterScenario(
            name,
            seeds = seeds,
            mixture = mixture,
            operators = operators,
            teams = TEAMS,
            trouble = trouble,
        )

        private fun SimulatedCluster.surge(team: String, count: Int, firstId: Int = 1_000, runS: Double = 6.0) {
            for (id in firstId until firstId + count) user(spec(id, 1, runS, team = team, zone = null))
        }

        /** A surge of one team beside quiet work of the other, for a trouble in the middle. */
        private fun troubled(name: String, seeds: Long = 2, trouble: suspend SimulatedCluster.() -> Unit) =
            surgeCase(name, seeds = seeds, mixture = true) {
                surge("red", count = 120)
                scope.launch {
                    repeat(6) {
                        user(spec(900 + it, 2, 3.0, priority = Priority.NORMAL, team = "blue"))
                        delay(3_000)
                    }
                }
                delay(4_000)
                trouble()
            }

        @JvmStatic
        fun cases() = listOf(
            surgeCase("a thousand urgent one-task checks at once") {
                surge("red", count = 1_000, runS = 3.0)
                repeat(10) {
                    user(spec(900 + it, 2, 3.0, priority = Priority.NORMAL, team = "blue"))
                    delay(3_000)
                }
            },
            surgeCase("tasks that run for long are stopped, so that a quiet team gets its guarantee", seeds = 2) {
                surge("red", count = 120, runS = 150.0)
                delay(40_000)
                repeat(4) {
                    user(spec(900 + it, 1, 3.0, priority = Priority.NORMAL, team = "blue"))
                    delay(6_000)
                }
                val waits = rules.waitsMs("blue")
                if (waits.size < 4 || waits.max() > 25_000) broken.add("the quiet team waited for $waits ms")
            },
            surgeCase("two teams surge by turns: moves are bounded", seeds = 2) {
                for (turn in 0 until 6) {
                    surge(if (turn % 2 == 0) "red" else "blue", count = 40, firstId = 1_000 + turn * 100)
                    delay(8_000)
                }
                while (!allOver()) delay(1_000)
                val handed = moveEnds(MoveKind.REASSIGNMENT, MoveState.PLACED)
                val stopped = moveEnds(MoveKind.STOP, MoveState.PLACED)
                if (handed > 120 || stopped > 48) broken.add("oscillation: $handed handovers and $stopped stops")
            },
            troubled("the owner dies in the middle of moves, again and again") {
                repeat(3) {
                    crash(nodes[it])
                    delay(1_500)
                    startNode(nodes[it])
                    delay(5_000)
                }
            },
            troubled("all controllers end at once") {
                nodes.forEach(::crash)
                delay(200)
                nodes.forEach(::startNode)
                delay(10_000)
            },
            troubled("jobs are called off while they are moved") {
                repeat(8) {
                    cancelNow(6)
                    delay(900)
                }
            },
            troubled("jobs are called off at the end of their last task") {
                onLastEnd = { if (random.nextInt(3) == 0) cancel(it) }
                delay(15_000)
                onLastEnd = {}
            },
            troubled("machines hang and wake within their lease, and after it") {
                machines().forEachIndexed { index, worker -> if (index % 2 == 0) worker.hang(4_000L + 3_000 * index) }
                delay(25_000)
            },
            troubled("reports come late and copied, answers to workers are lost") {
                copies = 0.3
                lostAnswers = 0.1
                delay(25_000)
                copies = 0.0
                lostAnswers = 0.0
            },
            troubled("the state service is out in the middle of moves") {
                state.outage(true)
                delay(15_000)
                state.outage(false)
            },
            troubled("transactions are carried out late, their answers lost") {
                state.lateWrites = 0.3
                delay(20_000)
                state.lateWrites = 0.0
            },
            troubled("the target is lost") {
                machines().filter { it.zone == "b" }.forEach(::take)
                crash("holt-b")
                delay(8_000)
                startNode("holt-b")
            },
            troubled("a controller gets no turn for seconds") {
                for (node in nodes) {
                    pause(node, 6_000)
                    delay(7_000)
                }
            },
            troubled("one controller is of the version before") {
                old.add("holt-c")
                restart("holt-c")
                delay(15_000)
                old.clear()
                restart("holt-c")
                delay(5_000)
            },
            troubled("pipelines wait meanwhile") {
                user(spec(800, 3, 2.0, team = "blue"))
                user(spec(801, 3, 2.0, team = "red").copy(dependencies = listOf("j-000800")))
                user(spec(802, 3, 2.0, team = "blue").copy(dependencies = listOf("j-000801")))
                delay(10_000)
            },
            troubled("switched off and on while it works") {
                for (on in listOf(false, true, false, true)) {
                    operators = if (on) ACTING else OperatorSettings()
                    delay(5_000)
                }
            },
        )
    }
}
