package io.otterknot.leadership

/**
 * Machines that report here although another controller leads their partition. A registered machine has been with its
 * leader and leaves it only if it gets no answer there. A machine that returns after it was redirected to the leader
 * got no answer there either. A leader that has crashed, or that its workers cannot reach, is detected this way long
 * before its store lease expires, and before its workers' leases expire.
 */
class RedirectedWorkers {
    /** [returnedMs] is [NEVER_MS] until the machine returns. */
    private class Redirect(val redirectedMs: Long, val returnedMs: Long, val hasLeftLeader: Boolean)

    private val redirectsByZone = HashMap<String, HashMap<String, Redirect>>()
    private var lastEvictionMs = NEVER_MS

    /** The number of machines whose redirects are kept. */
    val size: Int get() = redirectsByZone.values.sumOf { it.size }

    /** Records that [machine] was redirected to its leader; [hasLeftLeader] is whether it had been with that leader. */
    fun workerRedirected(zone: String, machine: String, hasLeftLeader: Boolean, nowMs: Long) {
        evictExpired(nowMs)
        val redirects = redirectsByZone.getOrPut(zone) { HashMap() }
        val previous = redirects[machine]
        if (previous == null || nowMs - previous.redirectedMs > RETENTION_MS) {
            redirects[machine] = Redirect(nowMs, returnedMs = NEVER_MS, hasLeftLeader)
        } else if (nowMs - previous.redirectedMs >= MIN_RETURN_MS) {
            redirects[machine] = Redirect(previous.redirectedMs, returnedMs = nowMs, previous.hasLeftLeader)
        }
    }

    /** How many machines of [zone] have left the leader within the last [RECENT_MS]. */
    fun departureCount(zone: String, nowMs: Long): Int =
        redirectsByZone[zone]?.values?.count { it.hasLeftLeader && nowMs - it.redirectedMs < RECENT_MS } ?: 0

    /** How many machines of [zone] have returned from the leader within the last [RECENT_MS]. */
    fun returnCount(zone: String, nowMs: Long): Int =
        redirectsByZone[zone]?.values?.count { nowMs - it.returnedMs < RECENT_MS } ?: 0

    /** Drops the redirects of [zone], which apply only to its previous leader. */
    fun clear(zone: String) {
        redirectsByZone.remove(zone)
    }

    /** Evicts by age, not by number: with a limit on the number, each report above it would scan all machines. */
    private fun evictExpired(nowMs: Long) {
        if (nowMs - lastEvictionMs < RETENTION_MS) return
        lastEvictionMs = nowMs
        for (redirects in redirectsByZone.values) {
            redirects.values.removeIf { nowMs - it.redirectedMs > RETENTION_MS }
        }
    }

    private companion object {
        /** Earlier than any event, but so that its difference to a current time does not overflow. */
        const val NEVER_MS = Long.MIN_VALUE / 2

        /**
         * A worker follows a redirect within 500 ms. A report that comes sooner may have been sent before the redirect.
         */
        const val MIN_RETURN_MS = 700L

        /** How long a redirect is kept. */
        const val RETENTION_MS = 9_000L

        /** How long a departure or a return counts against the leader. */
        const val RECENT_MS = 4_000L
    }
}
