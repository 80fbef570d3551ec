package io.otterknot.leadership

/**
 * The markers of forced takeovers, and until when the leaders that were taken over may still act.
 *
 * Such a leader last moved its fence before the takeover, so the fence ends [leaseTtlMs] after it at the latest. An
 * acquisition that came through late, and a new leader that ended at once, leave the marker; it counts from when this
 * controller saw it (`docs/design.md`, "The partitions of an unresponsive leader are taken over at once").
 */
class TakeoverMarkers(private val leaseTtlMs: Long, private val nowMs: () -> Long) {
    private val markerSeenMs = HashMap<String, Long>()

    /** The replica shows that the marker of [zone] was put or removed. */
    fun markerChanged(zone: String, isPresent: Boolean) {
        if (isPresent) markerSeenMs[zone] = nowMs() else markerSeenMs.remove(zone)
    }

    /**
     * Until when an earlier leader of [zone] may still act, by this controller's clock; the present time if none may.
     *
     * @param isForcedTakeover whether the partition has just been taken over from such a leader
     */
    fun priorLeaderUntilMs(zone: String, isForcedTakeover: Boolean): Long {
        val now = nowMs()
        val takenOverMs = if (isForcedTakeover) now else markerSeenMs[zone] ?: return now
        return maxOf(now, takenOverMs + leaseTtlMs)
    }
}
