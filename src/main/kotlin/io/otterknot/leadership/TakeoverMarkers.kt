package io.otterknot.leadership

/**
 * The markers of forced takeovers, and until when the leaders that were taken over may still act.
 *
 * Such a leader last extended its fence before the takeover, so the fence expires at most [leaseTtlMs] after the
 * takeover. A marker remains if an acquisition was applied late or if the new leader ended right after it. Its time is
 * then counted from when this controller saw it (`docs/design.md`, "The partitions of an unresponsive leader are taken
 * over at once").
 */
class TakeoverMarkers(private val leaseTtlMs: Long, private val nowMs: () -> Long) {
    private val markerSeenMs = HashMap<String, Long>()

    /** Records that the replica shows that the marker of [zone] was written or removed. */
    fun markerChanged(zone: String, isPresent: Boolean) {
        if (isPresent) markerSeenMs[zone] = nowMs() else markerSeenMs.remove(zone)
    }

    /**
     * Until when an earlier leader of [zone] may still act, by this controller's clock, or the present time if none
     * may.
     *
     * @param isForcedTakeover whether this controller has just taken the partition over by force
     */
    fun priorLeaderUntilMs(zone: String, isForcedTakeover: Boolean): Long {
        val now = nowMs()
        val takenOverMs = if (isForcedTakeover) now else markerSeenMs[zone] ?: return now
        return maxOf(now, takenOverMs + leaseTtlMs)
    }
}
