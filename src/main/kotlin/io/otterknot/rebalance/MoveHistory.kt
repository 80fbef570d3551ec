package io.otterknot.rebalance

import io.otterknot.partition.Partition
import io.otterknot.scheduling.PartitionJob

/**
 * Recent moves of one partition: stopped tasks, and jobs with tasks that were reassigned from another partition. It
 * prevents a task or job from being moved again shortly after a move. [evictExpired] removes expired entries.
 */
class MoveHistory {
    private val stoppedMs = HashMap<String, Long>()
    private val arrivals = HashMap<String, Arrival>()
    private var hasObservedOnce = false

    private class Arrival(var owned: Int, var arrivedMs: Long?)

    /** Records that [task] of [job] was stopped; its cooldown starts. */
    fun recordStop(job: String, task: Int, nowMs: Long) {
        stoppedMs["$job/$task"] = nowMs
    }

    /** Whether [task] of [job] was stopped less than [cooldownMs] ago. */
    fun isCoolingDown(job: String, task: Int, nowMs: Long, cooldownMs: Long): Boolean {
        if (stoppedMs.isEmpty()) return false
        return stoppedMs["$job/$task"]?.let { nowMs - it < cooldownMs } ?: false
    }

    /** Returns seconds since tasks of [job] were last reassigned to this partition, or null if none are known to be. */
    fun secondsSinceArrival(job: String, nowMs: Long): Double? = arrivals[job]?.arrivedMs?.let { (nowMs - it) / 1000.0 }

    /**
     * Detects reassignments to this partition since the last call: a job among [waiting] that owns more tasks here than
     * before, or that is first observed long after its submission. The first call only records the current state,
     * since it is not known which partitions these jobs were in before.
     */
    fun recordArrivals(waiting: List<PartitionJob>, nowMs: Long, wallMs: Long) {
        for (job in waiting) {
            val owned = job.owned.cardinality()
            val before = arrivals[job.id]
            if (before == null) {
                val wasReassigned = hasObservedOnce && wallMs - job.readyMs > MAX_FIRST_OBSERVATION_DELAY_MS
                arrivals[job.id] = Arrival(owned, nowMs.takeIf { wasReassigned })
                continue
            }
            if (owned > before.owned) before.arrivedMs = nowMs
            before.owned = owned
        }
        hasObservedOnce = true
    }

    /** Removes expired cooldowns and jobs that the partition no longer has. */
    fun evictExpired(partition: Partition, nowMs: Long, cooldownMs: Long) {
        stoppedMs.values.removeIf { nowMs - it >= cooldownMs }
        arrivals.keys.removeIf { partition.job(it) == null }
    }

    private companion object {
        /** A job first observed later than this after its submission has waited in another partition. */
        const val MAX_FIRST_OBSERVATION_DELAY_MS = 4_000L
    }
}
