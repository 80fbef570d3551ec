package io.otterknot.rebalance

import io.otterknot.jobs.Job
import io.otterknot.records.QuotaAmount
import io.otterknot.wire.Priority

/** What one team's unfinished job takes of its guarantee. */
data class UnfinishedJob(
    val id: String,
    val team: String,
    val priority: Priority,
    val submittedMs: Long,
    val amount: QuotaAmount,
) {
    companion object {
        /** Null: the job is over, waits for others, or is not known well enough; it takes nothing. */
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
