package io.otterknot.placement

import io.otterknot.wire.Report

/** How far machines that were let go had reported, the latest of them; late copies of reports show less. */
class LastSeen(private val most: Int = 4_096) {
    private class Seen(val session: Long, val seq: Long)

    private val machines = object : LinkedHashMap<String, Seen>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, Seen>) = size > most
    }

    fun note(id: String, session: Long, seq: Long) {
        machines[id] = Seen(session, seq)
    }

    /** The machine is no more: nothing is newer. */
    fun gone(id: String) = note(id, Long.MAX_VALUE, Long.MAX_VALUE)

    /** Whether [report] is newer than all that is known of its machine. */
    fun olderThan(report: Report): Boolean {
        val seen = machines[report.machine] ?: return true
        return report.session > seen.session || (report.session == seen.session && report.seq > seen.seq)
    }
}
