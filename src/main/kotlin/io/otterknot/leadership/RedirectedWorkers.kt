package io.otterknot.leadership

/**
 * Machines that come here although another node owns their partition. A registered one has been with its owner, and
 * leaves it only if it gets no answer there; one that comes back after it was sent to the owner got none even now. An
 * owner that has crashed, or that its workers do not reach, is found out this way long before its lease ends, and
 * before theirs do.
 */
class RedirectedWorkers {
    private class Seen(val sentMs: Long, val backMs: Long, val left: Boolean)

    private val byZone = HashMap<String, HashMap<String, Seen>>()
    private var trimmedMs = Long.MIN_VALUE / 2

    /** How many machines are remembered. */
    val size: Int get() = byZone.values.sumOf { it.size }

    /** A machine of [zone] reports here and is sent to the owner; [registered]: it had been with an owner before. */
    fun sent(zone: String, machine: String, now: Long, registered: Boolean) {
        trim(now)
        val seen = byZone.getOrPut(zone) { HashMap() }
        val before = seen[machine]
        when {
            before == null || now - before.sentMs > SPAN_MS -> seen[machine] = Seen(now, Long.MIN_VALUE / 2, registered)
            now - before.sentMs >= BACK_MS -> seen[machine] = Seen(before.sentMs, now, before.left)
        }
    }

    /** By time and not by number: from some number on, each report would look at all machines. */
    private fun trim(now: Long) {
        if (now - trimmedMs < SPAN_MS) return
        trimmedMs = now
        byZone.values.forEach { seen -> seen.values.removeIf { now - it.sentMs > SPAN_MS } }
    }

    /** How many have left the owner by themselves within the last seconds. */
    fun left(zone: String, now: Long): Int = byZone[zone]?.values?.count { it.left && now - it.sentMs < FRESH_MS } ?: 0

    /** How many came back from the owner. */
    fun count(zone: String, now: Long): Int = byZone[zone]?.values?.count { now - it.backMs < FRESH_MS } ?: 0

    /** Somebody else owns the partition now. */
    fun forget(zone: String) {
        byZone.remove(zone)
    }

    private companion object {
        /** A worker goes where it is sent within half a second; sooner than this it may have crossed another answer. */
        const val BACK_MS = 700L
        const val SPAN_MS = 9_000L
        const val FRESH_MS = 4_000L
    }
}
