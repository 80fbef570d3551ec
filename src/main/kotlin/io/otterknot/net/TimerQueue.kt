package io.otterknot.net

import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.Runnable
import java.util.TreeSet

/** The timers of an [EventLoop], by the JVM's monotonic clock; those that are due together run in the order of their creation. */
internal class TimerQueue {
    private val timers = TreeSet<Timer>()
    private var createdCount = 0L

    /** A block to run once at [dueNs]; disposing of it cancels it. */
    inner class Timer(val dueNs: Long, private val number: Long, val block: Runnable) :
        Comparable<Timer>,
        DisposableHandle {
        /** By difference, as `System.nanoTime` asks for: the origin of that clock is arbitrary. */
        override fun compareTo(other: Timer): Int {
            val difference = dueNs - other.dueNs
            return if (difference != 0L) difference.compareTo(0) else number.compareTo(other.number)
        }

        override fun dispose() {
            timers.remove(this)
        }
    }

    /** Runs [block] in [delayMs] milliseconds, unless it is disposed of before. */
    fun schedule(delayMs: Long, block: Runnable): Timer {
        val dueNs = System.nanoTime() + minOf(delayMs, MAX_DELAY_MS) * NS_PER_MS
        return Timer(dueNs, createdCount++, block).also(timers::add)
    }

    /** Runs all timers that are due now. */
    fun runDue() {
        if (timers.isEmpty()) return
        val now = System.nanoTime()
        while (timers.isNotEmpty() && timers.first().dueNs - now <= 0) timers.pollFirst()?.block?.run()
    }

    /** Milliseconds until the next timer is due, rounded up: a wait that ends too early would only be repeated. */
    fun untilNextMs(): Long {
        if (timers.isEmpty()) return MAX_DELAY_MS
        return (timers.first().dueNs - System.nanoTime() + NS_PER_MS - 1) / NS_PER_MS
    }

    private companion object {
        const val NS_PER_MS = 1_000_000L

        /** Ten years: no sum with a reading of the clock overflows. */
        const val MAX_DELAY_MS = 315_360_000_000L
    }
}
