package io.otterknot.peer

import io.otterknot.partition.Partition
import kotlinx.coroutines.delay
import kotlin.random.Random

/**
 * Announces this node's partitions with idle machines, and withdraws them once none is idle (DESIGN; Saqr, section
 * 3.2).
 */
class IdlePartitionAnnouncer(
    private val label: String,
    private val own: IdlePartitions,
    private val peers: Map<String, PeerTransport>,
    private val partitions: Map<String, Partition>,
    private val nowMs: () -> Long,
    private val random: Random,
) {
    private class Announced(val to: String, val token: Long, var idle: Int, var atMs: Long)

    private val announced = HashMap<String, Announced>()

    suspend fun announce() {
        while (true) {
            delay(EVERY_MS + random.nextLong(200))
            own.expire(nowMs())
            for (zone in announced.keys - partitions.keys) announced.remove(zone)
            for (partition in partitions.values.toList()) consider(partition)
        }
    }

    private suspend fun consider(partition: Partition) {
        val idle = partition.machines.count { it.idle && it.acceptsTasks }
        val now = nowMs()
        val known = announced[partition.zone]?.takeIf { it.token == partition.fencingToken }
        if (idle == 0) {
            if (known != null &&
                tell(known.to, PeerMessage.Withdraw(partition.zone, partition.fencingToken)) != null
            ) {
                announced.remove(partition.zone)
            }
            return
        }
        if (known != null) {
            // Telling the number as it falls keeps a burst from flooding the partition until it is withdrawn.
            if (known.idle == idle && now - known.atMs < RENEW_MS) return
            if (tell(known.to, PeerMessage.Announce(partition.zone, partition.fencingToken, idle)) == null) {
                announced.remove(partition.zone)
            } else {
                known.idle = idle
                known.atMs = now
            }
            return
        }
        val listener = chooseListener(peers.keys.toList() + label, random) { tell(it, PeerMessage.Ask) } ?: return
        if (tell(listener, PeerMessage.Announce(partition.zone, partition.fencingToken, idle)) != null) {
            announced[partition.zone] = Announced(listener, partition.fencingToken, idle, now)
        }
    }

    private suspend fun tell(node: String, message: PeerMessage): Int? {
        val answer = if (node == label) own.take(message, nowMs()) else peers[node]?.ask(message, PEER_ANSWER_MS)
        return (answer as? PeerMessage.Known)?.partitions
    }

    private companion object {
        const val EVERY_MS = 500L
        const val RENEW_MS = 2_500L
    }
}
