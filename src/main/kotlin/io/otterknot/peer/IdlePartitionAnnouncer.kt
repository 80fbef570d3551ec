package io.otterknot.peer

import io.otterknot.partition.Partition
import kotlinx.coroutines.delay
import kotlin.random.Random

/**
 * Announces the idle machines of the partitions that this controller leads, each partition to one controller, and
 * withdraws the announcement once no machine is idle (DESIGN; Saqr, section 3.2). The recipient prefers the partition
 * for new jobs, see [IdlePartitions].
 */
class IdlePartitionAnnouncer(
    private val label: String,
    private val receivedAnnouncements: IdlePartitions,
    private val peers: Map<String, PeerTransport>,
    private val partitions: Map<String, Partition>,
    private val nowMs: () -> Long,
    private val random: Random,
) {
    /** The last announcement to the controller [recipient], sent at [sentMs]. */
    private class Announcement(val recipient: String, val fencingToken: Long, var idleMachines: Int, var sentMs: Long)

    private val announcementsByZone = HashMap<String, Announcement>()

    /** Sends announcements, renewals and withdrawals periodically until cancelled. */
    suspend fun announceContinuously() {
        while (true) {
            delay(INTERVAL_MS + random.nextLong(INTERVAL_JITTER_MS))
            receivedAnnouncements.removeExpired(nowMs())
            for (zone in announcementsByZone.keys - partitions.keys) announcementsByZone.remove(zone)
            for (partition in partitions.values.toList()) update(partition)
        }
    }

    private suspend fun update(partition: Partition) {
        val idleMachines = partition.machines.count { it.idle && it.acceptsTasks }
        val now = nowMs()
        val announcement = announcementsByZone[partition.zone]?.takeIf { it.fencingToken == partition.fencingToken }
        when {
            idleMachines == 0 -> if (announcement != null) withdraw(partition, announcement)
            announcement == null -> announceFirst(partition, idleMachines, now)
            isDue(announcement, idleMachines, now) -> renew(partition, announcement, idleMachines, now)
        }
    }

    /** Withdraws [announcement]; a withdrawal without a response is retried in the next round. */
    private suspend fun withdraw(partition: Partition, announcement: Announcement) {
        val message = PeerMessage.IdleAnnouncementWithdrawn(partition.zone, partition.fencingToken)
        if (send(announcement.recipient, message) != null) announcementsByZone.remove(partition.zone)
    }

    /**
     * Whether [announcement] must be sent again. Each change of the number of idle machines is announced, because
     * otherwise a burst of jobs would overload the partition until the withdrawal.
     */
    private fun isDue(announcement: Announcement, idleMachines: Int, now: Long): Boolean =
        announcement.idleMachines != idleMachines || now - announcement.sentMs >= RENEWAL_MS

    /** Sends the current number; if the recipient does not respond, the next round chooses another. */
    private suspend fun renew(partition: Partition, announcement: Announcement, idleMachines: Int, now: Long) {
        val message = PeerMessage.IdlePartitionAnnouncement(partition.zone, partition.fencingToken, idleMachines)
        if (send(announcement.recipient, message) == null) {
            announcementsByZone.remove(partition.zone)
            return
        }
        announcement.idleMachines = idleMachines
        announcement.sentMs = now
    }

    private suspend fun announceFirst(partition: Partition, idleMachines: Int, now: Long) {
        val recipient = chooseRecipient() ?: return
        val message = PeerMessage.IdlePartitionAnnouncement(partition.zone, partition.fencingToken, idleMachines)
        if (send(recipient, message) == null) return
        announcementsByZone[partition.zone] = Announcement(recipient, partition.fencingToken, idleMachines, now)
    }

    /**
     * Returns whichever of two random controllers, this one included, has fewer announced idle partitions (the power of
     * two choices), or null if neither responds.
     */
    private suspend fun chooseRecipient(): String? {
        val candidates = (peers.keys.toList() + label).shuffled(random).take(CANDIDATES)
        val idlePartitionCounts = candidates.mapNotNull { candidate ->
            send(candidate, PeerMessage.IdlePartitionQuery)?.let { candidate to it }
        }
        return idlePartitionCounts.minByOrNull { it.second }?.first
    }

    /**
     * Sends [message]. Returns how many idle partitions are then announced to [controller], or null if it does not
     * respond.
     */
    private suspend fun send(controller: String, message: PeerMessage): Int? {
        val response = if (controller == label) {
            receivedAnnouncements.respondTo(message, nowMs())
        } else {
            peers[controller]?.call(message, PEER_RESPONSE_TIMEOUT_MS)
        }
        return (response as? PeerMessage.IdlePartitionCount)?.partitions
    }

    private companion object {
        const val INTERVAL_MS = 500L
        const val INTERVAL_JITTER_MS = 200L

        /** An unchanged announcement is sent again after this time, before it expires at the recipient. */
        const val RENEWAL_MS = 2_500L
        const val CANDIDATES = 2
    }
}
