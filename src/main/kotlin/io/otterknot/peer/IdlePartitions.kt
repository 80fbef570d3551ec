package io.otterknot.peer

import io.otterknot.scheduling.PartitionView

/**
 * The partitions with idle machines that were announced to this controller. Keeps [PartitionView.idleMachines] of
 * [views] (by zone) up to date, by which new jobs are given to partitions. Used on the controller's one thread only.
 */
class IdlePartitions(private val views: Map<String, PartitionView>, private val isStoreReachable: () -> Boolean) {
    private class Announcement(val fencingToken: Long, val expiresMs: Long)

    private val announcementsByZone = HashMap<String, Announcement>()

    /** Applies an announcement or a withdrawal; other messages change nothing. Each gets the same kind of answer. */
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

    /** Whether a message that came late is of a leader who has been replaced since. */
    private fun isFromEarlierLeader(zone: String, fencingToken: Long): Boolean =
        fencingToken < (announcementsByZone[zone]?.fencingToken ?: 0)

    private companion object {
        /** More than twice the time after which an announcement is renewed, so that one lost message ends none. */
        const val EXPIRY_MS = 6_000L
    }
}
