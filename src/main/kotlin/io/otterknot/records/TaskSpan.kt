package io.otterknot.records

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.util.BitSet

/** Tasks [from] until [until], exclusive, belong to the partition of [zone]. */
@Serializable
data class TaskSpan(@SerialName("z") val zone: String, @SerialName("f") val from: Int, @SerialName("u") val until: Int)

/** Which partitions the tasks of a job belong to, as [TaskSpan]s in the order of the tasks. */
object TaskSpans {
    /** [spans] once [tasks] belong to [zone]; neighbours of the same zone become one span. */
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

    /** Where the run of tasks that, like [from], are in [tasks] or are not, ends; [limit] at the latest. */
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
