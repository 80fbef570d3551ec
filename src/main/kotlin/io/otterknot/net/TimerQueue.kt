package io.otterknot.net

import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.Runnable
import java.util.TreeSet

/**
 * The timers of an [EventLoop], ordered by the JVM's monotonic clock. Timers with the same due time run in the order of
 * their creation.
 */
internal class TimerQueue {
    private val timers = TreeSet<Timer>()
    private var createdCount = 0L

    /** Runs [block] once at [dueNs] (of `System.nanoTime`); [dispose] cancels it. */
    inner class Timer(val dueNs: Long, private val sequenceNumber: Long, val block: Runnable) :
        Comparable<Timer>,
        DisposableHandle {
        /**
         * Compares the due times by their difference, as `System.nanoTime` requires: the origin of that clock is
         * arbitrary.
         */
        override fun compareTo(other: Timer): Int {
            val difference = dueNs - other.dueNs
            return if (difference != 0L) difference.compareTo(0) else sequenceNumber.compareTo(other.sequenceNumber)
        }

        override fun dispose() {
            timers.remove(this)
        }
    }

    /** Schedules [block] to run in [delayMs] milliseconds, unless the returned timer is disposed before. */
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

    /**
     * Returns the milliseconds until the next timer is due, or [MAX_DELAY_MS] if there is none. Rounded up, because a
     * wait that ends before the due time would have to be repeated.
     */
    fun untilNextMs(): Long {
        if (timers.isEmpty()) return MAX_DELAY_MS
        return (timers.first().dueNs - System.nanoTime() + NS_PER_MS - 1) / NS_PER_MS
    }

    private companion object {
        const val NS_PER_MS = 1_000_000L

        /** Ten years; larger delays are reduced to this so that a due time in nanoseconds does not overflow. */
        const val MAX_DELAY_MS = 315_360_000_000L
    }
}
