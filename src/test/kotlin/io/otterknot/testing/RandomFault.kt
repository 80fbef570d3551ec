package io.otterknot.testing

import kotlinx.coroutines.delay
import kotlin.random.Random

/** A fault whose duration and strength are drawn from a [Random]; [inject] returns when the fault is over. */
class RandomFault(val name: String, val inject: suspend FaultTarget.(Random) -> Unit) {
    companion object {
        /** Calls [set], and [reset] after a random delay of 3 to 18 s. */
        private suspend fun temporarily(random: Random, set: () -> Unit, reset: () -> Unit) {
            set()
            delay(3_000 + random.nextLong(15_000))
            reset()
        }

        val all = listOf(
            RandomFault("delayed transactions") { random ->
                temporarily(
                    random,
                    { state.delayedTransactionShare = 0.05 + random.nextDouble(0.25) },
                    { state.delayedTransactionShare = 0.0 },
                )
            },
            RandomFault("lost transactions") { random ->
                temporarily(
                    random,
                    { state.lostTransactionShare = 0.05 + random.nextDouble(0.3) },
                    { state.lostTransactionShare = 0.0 },
                )
            },
            RandomFault("lost answers") { random ->
                temporarily(
                    random,
                    { state.lostAnswerShare = 0.05 + random.nextDouble(0.4) },
                    { state.lostAnswerShare = 0.0 },
                )
            },
            RandomFault("duplicated transactions") { random ->
                temporarily(
                    random,
                    { state.duplicateTransactionShare = 0.2 + random.nextDouble(0.5) },
                    { state.duplicateTransactionShare = 0.0 },
                )
            },
            RandomFault("delayed answers") { random ->
                temporarily(
                    random,
                    { state.maxAnswerDelayMs = 50 + random.nextLong(2_500) },
                    { state.maxAnswerDelayMs = 0 },
                )
            },
            RandomFault("delayed requests") { random ->
                temporarily(
                    random,
                    { state.requestDelayMs = 50 + random.nextLong(900) },
                    { state.requestDelayMs = 0 },
                )
            },
            RandomFault("delayed watch answers") { random ->
                temporarily(
                    random,
                    { state.maxWatchAnswerDelayMs = 50 + random.nextLong(2_500) },
                    { state.maxWatchAnswerDelayMs = 0 },
                )
            },
            RandomFault("the watch of a node stalls") { random ->
                temporarily(
                    random,
                    { state.stalledWatchNode = nodes.random(random) },
                    { state.stalledWatchNode = null },
                )
            },
            RandomFault("watches expire and need full reads in small pages") { random ->
                state.maxPageKeys = 4 + random.nextInt(20)
                temporarily(
                    random,
                    { state.keptChanges = 1 + random.nextInt(12) },
                    { state.keptChanges = Int.MAX_VALUE },
                )
            },
            RandomFault("the state service refuses one node") { random ->
                temporarily(
                    random,
                    { state.refusedNode = nodes.random(random) },
                    { state.refusedNode = null },
                )
            },
            RandomFault("one node has no connection to its peers") { random ->
                temporarily(random, { nodesWithoutPeers.add(nodes.random(random)) }, { nodesWithoutPeers.clear() })
            },
            RandomFault("an outage of the state service") { random ->
                state.outage(true)
                delay(1_000 + random.nextLong(12_000))
                state.outage(false)
            },
            RandomFault("nodes crash and restart within a second") { random ->
                repeat(1 + random.nextInt(4)) {
                    val node = nodes.random(random)
                    crash(node)
                    delay(20 + random.nextLong(900))
                    startNode(node)
                    delay(random.nextLong(5_000))
                }
            },
            RandomFault("all nodes crash") { random ->
                nodes.forEach(::crash)
                delay(100 + random.nextLong(5_000))
                nodes.forEach(::startNode)
            },
            RandomFault("transactions are rejected by the rate limit") { random ->
                temporarily(
                    random,
                    { state.maxWritesPerS = 8.0 + random.nextInt(30) },
                    { state.maxWritesPerS = Double.MAX_VALUE },
                )
            },
            RandomFault("transactions are rejected by the size limit") { random ->
                temporarily(
                    random,
                    { state.maxTransactionChanges = 1 + random.nextInt(3) },
                    { state.maxTransactionChanges = Int.MAX_VALUE },
                )
            },
            RandomFault("answers to workers are lost") { random ->
                temporarily(
                    random,
                    { lostReportAnswerShare = 0.1 + random.nextDouble(0.5) },
                    { lostReportAnswerShare = 0.0 },
                )
            },
        )
    }
}
