package io.otterknot.partition

import io.otterknot.wire.Heartbeat

/**
 * How far machines that were let go had reported, the latest of them; late copies of reports show less. How many are
 * kept grows with the partition, now of [machineCount] machines: the more it has, the more come and go in the time
 * that a copy may be late.
 */
class HeartbeatHistory(private val machineCount: () -> Int) {
    private class Seen(val session: Long, val seq: Long)

    private val machines = object : LinkedHashMap<String, Seen>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, Seen>) =
            size > maxOf(LEAST_KEPT, machineCount() * KEPT_FOR_EACH_MACHINE)
    }

    val size: Int get() = machines.size

    fun note(id: String, session: Long, seq: Long) {
        machines[id] = Seen(session, seq)
    }

    /** The machine is no more: nothing is newer. */
    fun gone(id: String) = note(id, Long.MAX_VALUE, Long.MAX_VALUE)

    /** Whether [report] is newer than all that is known of its machine. */
    fun isNews(report: Heartbeat): Boolean =
        machines[report.machine]?.let { report.isNewerThan(it.session, it.seq) } ?: true

    private companion object {
        const val LEAST_KEPT = 4_096
        const val KEPT_FOR_EACH_MACHINE = 8
    }
}
