package io.otterknot.scheduling

import java.util.BitSet
import java.util.EnumMap

/** The tasks of a job that may be started now, each with its [StartReason]. */
class PendingTasks {
    private val tasks = BitSet()
    private val byReason = EnumMap<StartReason, BitSet>(StartReason::class.java)

    val isEmpty: Boolean get() = tasks.isEmpty
    val count: Int get() = tasks.cardinality()

    operator fun contains(task: Int): Boolean = tasks.get(task)

    /** The reason for which [task], which must be pending, may be started. */
    fun reasonOf(task: Int): StartReason = byReason.entries.first { it.value.get(task) }.key

    /** The pending task with the lowest number, or -1 if there is none. */
    fun first(): Int = tasks.nextSetBit(0)

    /** The pending tasks with the highest numbers, at most [count] of them. */
    fun last(count: Int): BitSet {
        val last = BitSet()
        var task = tasks.length() - 1
        repeat(minOf(count, this.count)) {
            last.set(task)
            task = tasks.previousSetBit(task - 1)
        }
        return last
    }

    /** Adds [task]; only [PartitionJob.makePending] calls this. */
    fun add(task: Int, reason: StartReason) {
        remove(task)
        tasks.set(task)
        byReason.getOrPut(reason) { BitSet() }.set(task)
    }

    /** Adds [added]; only [PartitionJob.makePending] calls this. */
    fun add(added: BitSet, reason: StartReason) {
        remove(added)
        tasks.or(added)
        byReason.getOrPut(reason) { BitSet() }.or(added)
    }

    fun remove(task: Int) {
        tasks.clear(task)
        byReason.values.forEach { it.clear(task) }
    }

    fun remove(removed: BitSet) {
        tasks.andNot(removed)
        byReason.values.forEach { it.andNot(removed) }
    }

    fun clear() {
        tasks.clear()
        byReason.clear()
    }
}
