package io.otterknot.soak

import io.otterknot.testing.RandomFault
import io.otterknot.testing.SimulatedWorker
import kotlinx.coroutines.delay
import kotlin.random.Random

/** A fault of a soak run, drawn by seed; [inject] returns when the fault is over. */
class SoakFault(val name: String, val inject: suspend SoakCluster.(Random) -> Unit) {
    companion object {
        private const val MAX_PAUSE_MS = 24_000L

        private fun Random.ms(from: Long, until: Long) = nextLong(from, until)

        private fun SoakCluster.someMachines(random: Random): List<SimulatedWorker> =
            machines().filter { random.nextInt(MACHINE_SHARE_DIVISOR) == 0 }

        private const val MACHINE_SHARE_DIVISOR = 5

        private val processFaults = listOf(
            SoakFault("a controller is paused") { random ->
                val node = nodes.random(random)
                pause(node)
                delay(random.ms(1_000, MAX_PAUSE_MS))
                resume(node)
            },
            SoakFault("the leader of a zone is killed several times in a row") { random ->
                val zone = zones.random(random)
                repeat(random.nextInt(2, 5)) {
                    val leader = partitionLeaders()[zone] ?: nodes.random(random)
                    crash(leader)
                    delay(random.ms(50, 4_000))
                    startNode(leader)
                    delay(random.ms(500, 6_000))
                }
            },
            SoakFault("a leader loses the store, its peers and most of its machines") { random ->
                cutOffLeader(random, isRefused = random.nextBoolean())
            },
            SoakFault("a zone is isolated") { random ->
                val zone = zones.random(random)
                val node = "holt-$zone"
                isolatedZone = zone
                nodesWithoutPeers.add(node)
                nodesWithoutStore.add(node)
                delay(random.ms(2_000, 25_000))
                isolatedZone = null
                nodesWithoutPeers.remove(node)
                nodesWithoutStore.remove(node)
            },
            SoakFault("a node loses the store only") { random ->
                val node = nodes.random(random)
                nodesWithoutStore.add(node)
                delay(random.ms(2_000, 25_000))
                nodesWithoutStore.remove(node)
            },
        )

        private val machineFaults = listOf(
            SoakFault("machines hang") { random ->
                val hungMs = random.ms(1_000, 16_000)
                someMachines(random).forEach { it.hang(hungMs) }
                delay(hungMs)
            },
            SoakFault("machines lose answers") { random ->
                val deaf = someMachines(random)
                deaf.forEach { it.inboundBlocked = true }
                delay(random.ms(2_000, 18_000))
                deaf.forEach { it.inboundBlocked = false }
            },
            SoakFault("reports of machines are lost") { random ->
                val mute = someMachines(random)
                mute.forEach { it.outboundBlocked = true }
                delay(random.ms(2_000, 18_000))
                mute.forEach { it.outboundBlocked = false }
            },
            SoakFault("machines do not reach one node") { random ->
                val node = nodes.random(random)
                val cut = machines().filter { random.nextInt(2) == 0 }
                cut.forEach { it.unreachableNodes.add(node) }
                delay(random.ms(2_000, 20_000))
                cut.forEach { it.unreachableNodes.remove(node) }
            },
            SoakFault("machines are lost") { random -> someMachines(random).take(2).forEach(::reclaim) },
            SoakFault("copies of reports arrive late") { random ->
                duplicateReportShare = 0.1 + random.nextDouble(0.4)
                delay(random.ms(3_000, 15_000))
                duplicateReportShare = 0.0
            },
            SoakFault("answers to workers are delayed") { random ->
                maxAnswerDelayMs = random.ms(500, 5_500)
                delay(random.ms(3_000, 12_000))
                maxAnswerDelayMs = 0
            },
            SoakFault("running jobs are cancelled while machines hang") { random ->
                machines().shuffled(random).take(2).forEach { it.hang(random.ms(2_000, 14_000)) }
                users.cancelRunning(3, machines())
            },
        )

        private suspend fun SoakCluster.cutOffLeader(random: Random, isRefused: Boolean) {
            val (zone, leader) = partitionLeaders().entries.randomOrNull(random) ?: return
            val cut = machines().filter { it.zone == zone && random.nextInt(4) != 0 }
            nodesWithoutPeers.add(leader)
            if (isRefused) state.refusedNode = leader else nodesWithoutStore.add(leader)
            cut.forEach { it.unreachableNodes.add(leader) }
            delay(random.ms(6_000, 26_000))
            cut.forEach { it.unreachableNodes.remove(leader) }
            nodesWithoutStore.remove(leader)
            if (state.refusedNode == leader) state.refusedNode = null
            nodesWithoutPeers.remove(leader)
        }

        private val storeFaults =
            RandomFault.all.map { fault -> SoakFault(fault.name) { random -> fault.inject(this, random) } }

        /**
         * Draws one of the faults whose name contains [name], which must be a part of some name. Half of them concern
         * processes and their connections, a quarter machines and a quarter the store.
         */
        fun draw(random: Random, name: String): SoakFault {
            val kind = when (random.nextInt(4)) {
                0 -> machineFaults
                1 -> storeFaults
                else -> processFaults
            }
            return kind.filter { name in it.name }.randomOrNull(random) ?: draw(random, name)
        }

        /** Whether [name] is a part of the name of some fault. */
        fun exists(name: String): Boolean = (processFaults + machineFaults + storeFaults).any { name in it.name }
    }
}
