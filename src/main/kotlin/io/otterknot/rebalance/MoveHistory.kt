package io.otterknot.rebalance

import io.otterknot.partition.Partition
import io.otterknot.scheduling.PartitionJob

/**
 * What was moved a while ago in one partition, so that it is not moved again at once: tasks that were stopped, and jobs
 * of which tasks arrived from elsewhere. What is over is forgotten.
 */
class MoveHistory {
    private val stoppedMs = HashMap<String, Long>()
    private val arrivals = HashMap<String, Arrival>()
    private var hasLooked = false

    private class Arrival(var owned: Int, var arrivedMs: Long?)

    fun stopped(job: String, task: Int, nowMs: Long) {
        stoppedMs["$job/$task"] = nowMs
    }

    fun coolsDown(job: String, task: Int, nowMs: Long, cooldownMs: Long): Boolean {
        if (stoppedMs.isEmpty()) return false
        return stoppedMs["$job/$task"]?.let { nowMs - it < cooldownMs } ?: false
    }

    /** How long ago tasks of [job] were last handed over to this partition; null: never, as far as is known. */
    fun arrivedS(job: String, nowMs: Long): Double? = arrivals[job]?.arrivedMs?.let { (nowMs - it) / 1000.0 }

    /**
     * Looks at the [waiting] jobs for tasks that have come since the last look: more of a job that was here, or a job
     * that was submitted long before it was first seen. Of what is here at the first look that is not known.
     */
    fun look(waiting: List<PartitionJob>, nowMs: Long, wallMs: Long) {
        for (job in waiting) {
            val owned = job.owned.cardinality()
            val before = arrivals[job.id]
            if (before == null) {
                val cameFromElsewhere = hasLooked && wallMs - job.readyMs > FRESH_MS
                arrivals[job.id] = Arrival(owned, nowMs.takeIf { cameFromElsewhere })
                continue
            }
            if (owned > before.owned) before.arrivedMs = nowMs
            before.owned = owned
        }
        hasLooked = true
    }

    /** Forgets what does not matter any more. */
    fun forget(partition: Partition, nowMs: Long, cooldownMs: Long) {
        stoppedMs.values.removeIf { nowMs - it >= cooldownMs }
        arrivals.keys.removeIf { partition.job(it) == null }
    }

    private companion object {
        /** A job is seen this soon after its submission, unless it waited elsewhere before. */
        const val FRESH_MS = 4_000L
    }
}
