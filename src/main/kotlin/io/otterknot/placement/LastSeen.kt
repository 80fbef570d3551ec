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
    fun isNews(report: Report): Boolean = machines[report.machine]?.let { report.newerThan(it.session, it.seq) } ?: true
}
