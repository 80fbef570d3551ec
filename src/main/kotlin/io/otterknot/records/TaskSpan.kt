package io.otterknot.records

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.util.BitSet

/** The tasks from [from] to [until], exclusive, which belong to the partition of [zone]. */
@Serializable
data class TaskSpan(@SerialName("z") val zone: String, @SerialName("f") val from: Int, @SerialName("u") val until: Int)

/** Operations on the assignment of a job's tasks to partitions, as [TaskSpan]s in the order of the tasks. */
object TaskSpans {
    /** Returns [spans] with [tasks] assigned to [zone]; adjacent spans of the same zone are merged. */
    fun reassign(spans: List<TaskSpan>, tasks: BitSet, zone: String): List<TaskSpan> {
        val result = ArrayList<TaskSpan>()
        for (span in spans.sortedBy { it.from }) {
            var from = span.from
            while (from < span.until) {
                val isReassigned = tasks.get(from)
                val until = endOfRun(tasks, from, span.until)
                result.append(TaskSpan(if (isReassigned) zone else span.zone, from, until))
                from = until
            }
        }
        return result
    }

    /**
     * Returns the exclusive end, at most [limit], of the run of tasks that begins at [from] and is completely in
     * [tasks] or completely outside.
     */
    private fun endOfRun(tasks: BitSet, from: Int, limit: Int): Int {
        val next = if (tasks.get(from)) tasks.nextClearBit(from) else tasks.nextSetBit(from)
        return if (next < 0) limit else minOf(next, limit)
    }

    private fun MutableList<TaskSpan>.append(span: TaskSpan) {
        val last = lastOrNull()
        if (last != null && last.zone == span.zone && last.until == span.from) {
            this[lastIndex] = last.copy(until = span.until)
        } else {
            add(span)
        }
    }
}
