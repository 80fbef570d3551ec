package io.otterknot.ownership

/**
 * Machines that come back here after they were sent to their part's owner: it does not answer them. An owner that has
 * crashed, or that its workers do not reach, is found out this way long before its lease ends, and before theirs do.
 */
class Strays {
    private class Seen(val sentMs: Long, val backMs: Long)

    private val byZone = HashMap<String, HashMap<String, Seen>>()

    /** A machine of [zone] reports here and is sent to the owner. */
    fun sent(zone: String, machine: String, now: Long) {
        val seen = byZone.getOrPut(zone) { HashMap() }
        val before = seen[machine]
        when {
            before == null || now - before.sentMs > SPAN_MS -> seen[machine] = Seen(now, Long.MIN_VALUE / 2)
            now - before.sentMs >= BACK_MS -> seen[machine] = Seen(before.sentMs, now)
        }
        if (seen.size > MOST) seen.values.removeIf { now - it.sentMs > SPAN_MS }
    }

    fun count(zone: String, now: Long): Int = byZone[zone]?.values?.count { now - it.backMs < FRESH_MS } ?: 0

    /** Somebody else owns the part now. */
    fun forget(zone: String) {
        byZone.remove(zone)
    }

    private companion object {
        /** A worker goes where it is sent within half a second; sooner than this it may have crossed another answer. */
        const val BACK_MS = 700L
        const val SPAN_MS = 9_000L
        const val FRESH_MS = 4_000L
        const val MOST = 2_000
    }
}
