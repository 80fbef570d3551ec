package io.otterknot.peer

import io.otterknot.scheduling.PartitionView

/**
 * The partitions with idle machines that were announced to this controller. Keeps [PartitionView.idleMachines] of
 * [views] (by zone) up to date, which the placement of new jobs uses. Used only on the controller's single thread.
 */
class IdlePartitions(private val views: Map<String, PartitionView>, private val isStoreReachable: () -> Boolean) {
    private class Announcement(val fencingToken: Long, val expiresMs: Long)

    private val announcementsByZone = HashMap<String, Announcement>()

    /** Applies an announcement or a withdrawal; other messages change nothing. Returns the count after the change. */
    fun respondTo(message: PeerMessage, nowMs: Long): PeerMessage.IdlePartitionCount {
        removeExpired(nowMs)
        when (message) {
            is PeerMessage.IdlePartitionAnnouncement -> add(message, nowMs)
            is PeerMessage.IdleAnnouncementWithdrawn -> remove(message)
            else -> Unit
        }
        return PeerMessage.IdlePartitionCount(announcementsByZone.size, isStoreReachable())
    }

    /** Removes announcements that were not renewed: their senders may have crashed before they could withdraw them. */
    fun removeExpired(nowMs: Long) {
        announcementsByZone.entries.removeIf { (zone, announcement) ->
            val isExpired = announcement.expiresMs < nowMs
            if (isExpired) views[zone]?.idleMachines = 0
            isExpired
        }
    }

    private fun add(message: PeerMessage.IdlePartitionAnnouncement, nowMs: Long) {
        val view = views[message.zone] ?: return
        if (isFromEarlierLeader(message.zone, message.fencingToken)) return
        announcementsByZone[message.zone] = Announcement(message.fencingToken, nowMs + EXPIRY_MS)
        view.idleMachines = message.idleMachines
    }

    private fun remove(message: PeerMessage.IdleAnnouncementWithdrawn) {
        if (isFromEarlierLeader(message.zone, message.fencingToken)) return
        announcementsByZone.remove(message.zone)
        views[message.zone]?.idleMachines = 0
    }

    /** Whether a message is stale: sent by a leader of [zone] that has been replaced since. */
    private fun isFromEarlierLeader(zone: String, fencingToken: Long): Boolean =
        fencingToken < (announcementsByZone[zone]?.fencingToken ?: 0)

    private companion object {
        /** More than twice the renewal interval, so that one lost message does not expire an announcement. */
        const val EXPIRY_MS = 6_000L
    }
}
