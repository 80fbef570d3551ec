package io.otterknot.peer

import io.otterknot.scheduling.PartitionView
import kotlin.random.Random

/** The partitions with idle machines that this node has been told of. */
class IdlePartitions(private val views: Map<String, PartitionView>, private val sound: () -> Boolean) {
    private class Told(val token: Long, val untilMs: Long)

    private val told = HashMap<String, Told>()

    fun take(message: PeerMessage, nowMs: Long): PeerMessage.Known {
        expire(nowMs)
        when (message) {
            is PeerMessage.Announce -> {
                val view = views[message.zone]
                // A late announcement of an owner that has been replaced says nothing.
                if (view != null && message.token >= (told[message.zone]?.token ?: 0)) {
                    told[message.zone] = Told(message.token, nowMs + KEEP_MS)
                    view.idleMachines = message.idle
                }
            }

            is PeerMessage.Withdraw -> {
                if (message.token >= (told[message.zone]?.token ?: 0)) {
                    told.remove(message.zone)
                    views[message.zone]?.idleMachines = 0
                }
            }

            else -> Unit
        }
        return PeerMessage.Known(told.size, sound())
    }

    /** An announcement that is not renewed ends: its sender may have crashed before it could withdraw. */
    fun expire(nowMs: Long) {
        told.entries.removeIf { (zone, announced) ->
            (announced.untilMs < nowMs).also { if (it) views[zone]?.idleMachines = 0 }
        }
    }

    private companion object {
        const val KEEP_MS = 6_000L
    }
}

/** To whom a partition is announced: of two random controllers the one that knows fewer idle partitions. */
suspend fun chooseListener(nodes: List<String>, random: Random, known: suspend (String) -> Int?): String? {
    val two = nodes.shuffled(random).take(2)
    return two.mapNotNull { node -> known(node)?.let { node to it } }.minByOrNull { it.second }?.first
}
