package io.otterknot.rebalance

import io.otterknot.partition.Partition
import io.otterknot.scheduling.PartitionJob

/**
 * Recent moves of one partition, so that no task or job is moved again at once: tasks that were stopped, and jobs with
 * tasks that another partition reassigned to this one. [evictExpired] drops entries that no longer matter.
 */
class MoveHistory {
    private val stoppedMs = HashMap<String, Long>()
    private val arrivals = HashMap<String, Arrival>()
    private var hasObservedOnce = false

    private class Arrival(var owned: Int, var arrivedMs: Long?)

    /** Remembers that [task] of [job] was stopped, for its cooldown. */
    fun recordStop(job: String, task: Int, nowMs: Long) {
        stoppedMs["$job/$task"] = nowMs
    }

    /** Whether [task] of [job] was stopped less than [cooldownMs] ago. */
    fun isCoolingDown(job: String, task: Int, nowMs: Long, cooldownMs: Long): Boolean {
        if (stoppedMs.isEmpty()) return false
        return stoppedMs["$job/$task"]?.let { nowMs - it < cooldownMs } ?: false
    }

    /** Seconds since tasks of [job] were last reassigned to this partition; null: never, as far as is known. */
    fun secondsSinceArrival(job: String, nowMs: Long): Double? = arrivals[job]?.arrivedMs?.let { (nowMs - it) / 1000.0 }

    /**
     * Detects arrivals among the [waiting] jobs since the last call: a job that owns more tasks than before, or one
     * first seen long after its submission. At the first call nothing is known of where the jobs were before.
     */
    fun recordArrivals(waiting: List<PartitionJob>, nowMs: Long, wallMs: Long) {
        for (job in waiting) {
            val owned = job.owned.cardinality()
            val before = arrivals[job.id]
            if (before == null) {
                val cameFromElsewhere = hasObservedOnce && wallMs - job.readyMs > MAX_FIRST_SIGHT_DELAY_MS
                arrivals[job.id] = Arrival(owned, nowMs.takeIf { cameFromElsewhere })
                continue
            }
            if (owned > before.owned) before.arrivedMs = nowMs
            before.owned = owned
        }
        hasObservedOnce = true
    }

    /** Drops expired cooldowns and jobs that the partition no longer has. */
    fun evictExpired(partition: Partition, nowMs: Long, cooldownMs: Long) {
        stoppedMs.values.removeIf { nowMs - it >= cooldownMs }
        arrivals.keys.removeIf { partition.job(it) == null }
    }

    private companion object {
        /** A job first seen later than this after its submission has waited in another partition. */
        const val MAX_FIRST_SIGHT_DELAY_MS = 4_000L
    }
}
