package io.otterknot.leadership

/**
 * Machines that report here although another controller leads their partition. A registered one has been with its
 * leader, and leaves it only if it gets no answer there; one that returns after it was redirected to the leader got none
 * even now. A leader that has crashed, or that its workers do not reach, is found out this way long before its store
 * lease expires, and before its workers' leases do.
 */
class RedirectedWorkers {
    /** [returnedMs] is [NEVER_MS] until the machine returns. */
    private class Redirect(val redirectedMs: Long, val returnedMs: Long, val hasLeftLeader: Boolean)

    private val redirectsByZone = HashMap<String, HashMap<String, Redirect>>()
    private var lastTrimMs = NEVER_MS

    /** How many machines are remembered. */
    val size: Int get() = redirectsByZone.values.sumOf { it.size }

    /** A machine of [zone] reports here and is redirected; [hasLeftLeader]: it had been with that leader before. */
    fun workerRedirected(zone: String, machine: String, hasLeftLeader: Boolean, nowMs: Long) {
        trim(nowMs)
        val redirects = redirectsByZone.getOrPut(zone) { HashMap() }
        val previous = redirects[machine]
        if (previous == null || nowMs - previous.redirectedMs > MEMORY_MS) {
            redirects[machine] = Redirect(nowMs, returnedMs = NEVER_MS, hasLeftLeader)
        } else if (nowMs - previous.redirectedMs >= MIN_RETURN_MS) {
            redirects[machine] = Redirect(previous.redirectedMs, returnedMs = nowMs, previous.hasLeftLeader)
        }
    }

    /** How many machines of [zone] have left the leader of their own accord within the last seconds. */
    fun departureCount(zone: String, nowMs: Long): Int =
        redirectsByZone[zone]?.values?.count { it.hasLeftLeader && nowMs - it.redirectedMs < RECENT_MS } ?: 0

    /** How many machines of [zone] have returned from the leader within the last seconds. */
    fun returnCount(zone: String, nowMs: Long): Int =
        redirectsByZone[zone]?.values?.count { nowMs - it.returnedMs < RECENT_MS } ?: 0

    /** Another controller leads the partition of [zone] now, so what is known says nothing any more. */
    fun clear(zone: String) {
        redirectsByZone.remove(zone)
    }

    /** By time and not by number: above some number, each report would look at all machines. */
    private fun trim(nowMs: Long) {
        if (nowMs - lastTrimMs < MEMORY_MS) return
        lastTrimMs = nowMs
        for (redirects in redirectsByZone.values) {
            redirects.values.removeIf { nowMs - it.redirectedMs > MEMORY_MS }
        }
    }

    private companion object {
        /** Earlier than any event; the difference to a time of today does not overflow. */
        const val NEVER_MS = Long.MIN_VALUE / 2

        /** A worker follows a redirect within half a second; one that is back sooner may have crossed another answer. */
        const val MIN_RETURN_MS = 700L

        /** For how long a redirect is remembered. */
        const val MEMORY_MS = 9_000L

        /** For how long a departure or a return counts against the leader. */
        const val RECENT_MS = 4_000L
    }
}
