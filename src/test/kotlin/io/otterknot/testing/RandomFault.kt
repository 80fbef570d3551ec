package io.otterknot.testing

import kotlinx.coroutines.delay
import kotlin.random.Random

/** A fault of a length and strength that [Random] draws; it ends by itself. */
class RandomFault(val name: String, val play: suspend SimulatedCluster.(Random) -> Unit) {
    companion object {
        private suspend fun spell(random: Random, set: () -> Unit, reset: () -> Unit) {
            set()
            delay(3_000 + random.nextLong(15_000))
            reset()
        }

        val all = listOf(
            RandomFault("late transactions") { random ->
                spell(random, { state.lateWrites = 0.05 + random.nextDouble(0.25) }, { state.lateWrites = 0.0 })
            },
            RandomFault("lost transactions") { random ->
                spell(random, { state.lossy = 0.05 + random.nextDouble(0.3) }, { state.lossy = 0.0 })
            },
            RandomFault("lost answers") { random ->
                spell(random, { state.unanswered = 0.05 + random.nextDouble(0.4) }, { state.unanswered = 0.0 })
            },
            RandomFault("repeated transactions") { random ->
                spell(random, { state.repeated = 0.2 + random.nextDouble(0.5) }, { state.repeated = 0.0 })
            },
            RandomFault("slow answers") { random ->
                spell(random, { state.answerMs = 50 + random.nextLong(2_500) }, { state.answerMs = 0 })
            },
            RandomFault("slow requests") { random ->
                spell(random, { state.slowMs = 50 + random.nextLong(900) }, { state.slowMs = 0 })
            },
            RandomFault("slow watches") { random ->
                spell(random, { state.watchAnswerMs = 50 + random.nextLong(2_500) }, { state.watchAnswerMs = 0 })
            },
            RandomFault("a watch stands still") { random ->
                spell(random, { state.watchless = nodes.random(random) }, { state.watchless = null })
            },
            RandomFault("everything is read again") { random ->
                state.pageKeys = 4 + random.nextInt(20)
                spell(random, { state.keptChanges = 1 + random.nextInt(12) }, { state.keptChanges = Int.MAX_VALUE })
            },
            RandomFault("one node is refused") { random ->
                spell(random, { state.refusedFor = nodes.random(random) }, { state.refusedFor = null })
            },
            RandomFault("one node has no peers") { random ->
                spell(random, { peerless.add(nodes.random(random)) }, { peerless.clear() })
            },
            RandomFault("an outage") { random ->
                state.outage(true)
                delay(1_000 + random.nextLong(12_000))
                state.outage(false)
            },
            RandomFault("a node returns at once") { random ->
                repeat(1 + random.nextInt(4)) {
                    val node = nodes.random(random)
                    crash(node)
                    delay(20 + random.nextLong(900))
                    startNode(node)
                    delay(random.nextLong(5_000))
                }
            },
            RandomFault("all nodes end") { random ->
                nodes.forEach(::crash)
                delay(100 + random.nextLong(5_000))
                nodes.forEach(::startNode)
            },
            RandomFault("changes are refused for their rate") { random ->
                spell(
                    random,
                    { state.maxWritesPerS = 8.0 + random.nextInt(30) },
                    { state.maxWritesPerS = Double.MAX_VALUE },
                )
            },
            RandomFault("changes are refused for their size") { random ->
                spell(random, { state.maxOps = 1 + random.nextInt(3) }, { state.maxOps = Int.MAX_VALUE })
            },
            RandomFault("answers to workers are lost") { random ->
                spell(random, { lostAnswers = 0.1 + random.nextDouble(0.5) }, { lostAnswers = 0.0 })
            },
        )
    }
}
