package io.otterknot.rebalance

import io.otterknot.jobs.Job
import io.otterknot.records.QuotaAmount
import io.otterknot.wire.Priority

/** An unfinished job and the [amount] that it uses of its team's guarantee. */
data class UnfinishedJob(
    val id: String,
    val team: String,
    val priority: Priority,
    val submittedMs: Long,
    val amount: QuotaAmount,
) {
    companion object {
        /**
         * Returns null if the job is in a terminal state, waits for other jobs or has no known spec: it uses nothing of
         * the guarantee.
         */
        fun of(job: Job): UnfinishedJob? {
            val spec = job.spec ?: return null
            if (job.terminalState != null || !job.isReady) return null
            val tasks = spec.tasks - job.completedTasks.cardinality()
            val amount = QuotaAmount(tasks * spec.cores, tasks * spec.gpus)
            val priority = minOf(spec.priority, job.dependencies.inheritedPriority ?: spec.priority)
            return UnfinishedJob(job.id, spec.team, priority, job.record?.submittedMs ?: 0, amount)
        }
    }
}
