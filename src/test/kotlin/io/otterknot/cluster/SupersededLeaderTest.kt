package io.otterknot.cluster

import io.otterknot.testing.ClusterScenario
import io.otterknot.testing.SimulatedCluster
import kotlinx.coroutines.delay
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Leaders that were taken over by force and have not noticed it, while some of their workers still reach them. */
class SupersededLeaderTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `a superseded leader does not restart tasks of machines that the new leader keeps alive`(
        case: ClusterScenario,
    ) = case.run()

    companion object {
        /** Cuts [node] off from the store, from its peers and from the given number of its zone's machines. */
        private suspend fun SimulatedCluster.cutOff(node: String, reachableMachines: Int, ms: Long) {
            val zone = node.removePrefix("holt-")
            val lost = machines().filter { it.zone == zone }.sortedBy { it.freeCores }.dropLast(reachableMachines)
            state.refusedNode = node
            nodesWithoutPeers.add(node)
            lost.forEach { it.unreachableNodes.add(node) }
            delay(ms)
            state.refusedNode = null
            nodesWithoutPeers.clear()
            lost.forEach { it.unreachableNodes.clear() }
        }

        @JvmStatic
        fun cases() = listOf(1, 2).map { reachable ->
            ClusterScenario(
                "a leader without state service and peers is reached by $reachable of its machines only",
                seeds = 3,
                defaultWorkload = false,
            ) {
                for (id in 201..206) {
                    val spec = spec(id, 4, runS = 90.0, zone = "a")
                    for (task in 0 until 4 step 2) taskRunS["${spec.id}/$task"] = 22.0 + 2 * (id % 5)
                    startUser(spec)
                }
                delay(15_000)
                cutOff("holt-a", reachable, ms = 40_000)
            }
        }
    }
}
