package io.otterknot.partition

import io.otterknot.scheduling.Attempt
import io.otterknot.scheduling.Machine
import io.otterknot.scheduling.PartitionJob
import io.otterknot.scheduling.PlacementLedger

/** The state of a partition as its scheduler reads and changes it. */
class PartitionPlacement(
    private val partitionMachines: PartitionMachines,
    private val partitionJobs: PartitionJobs,
    private val attempts: AttemptLedger,
    private val teams: TeamQuotaLedger,
) : PlacementLedger {
    override val machines: List<Machine> get() = partitionMachines.all
    override val jobs: List<PartitionJob> get() = partitionJobs.all

    override fun pressure(team: Int): Double = teams.pressure(team)

    override fun book(job: PartitionJob, machine: Machine, now: Long): Attempt =
        attempts.bookNextTask(job, machine, now)

    override fun stop(attempt: Attempt) = attempts.stop(attempt)

    override fun startableTasks(job: PartitionJob): Int {
        if (job.team < 0) return 0
        return teams.startable(job.team, job.spec, minOf(job.pendingCount, startableInZone(job)))
    }

    /**
     * How many more tasks of [job] may start here if it is spread across zones. Only tasks of this partition can run in
     * its zone, so only the attempts here and the unreconciled tasks count.
     */
    private fun startableInZone(job: PartitionJob): Int = if (job.spec.spreadAcrossZones) {
        job.spec.maxTasksPerZone - job.active.size - job.unreconciledTasks.cardinality()
    } else {
        Int.MAX_VALUE
    }
}
