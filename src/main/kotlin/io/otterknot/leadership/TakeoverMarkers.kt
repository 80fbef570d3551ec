package io.otterknot.leadership

/**
 * The marks that some partition was claimed from an owner which may still act, and until when it may: its fence was
 * moved last before that claim, and ends [ttlMs] later at most. A claim that came through late, and a claimant that
 * ended at once, leave the mark, and it counts from when this node saw it.
 */
class TakeoverMarkers(private val ttlMs: Long, private val nowMs: () -> Long) {
    private val seenMs = HashMap<String, Long>()

    /** The replica shows that the mark of [zone] has come or gone. */
    fun changed(zone: String, present: Boolean) {
        if (present) seenMs[zone] = nowMs() else seenMs.remove(zone)
    }

    /** Until when an earlier owner of [zone] may still act; [overriding]: it has just been claimed from one. */
    fun othersUntilMs(zone: String, overriding: Boolean): Long {
        val now = nowMs()
        val claimedFromOwner = if (overriding) now else seenMs[zone] ?: return now
        return maxOf(now, claimedFromOwner + ttlMs)
    }
}
