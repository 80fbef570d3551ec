package io.otterknot.partition

import io.otterknot.scheduling.Attempt
import io.otterknot.scheduling.Machine
import io.otterknot.scheduling.PartitionJob
import io.otterknot.scheduling.PlacementLedger

/** The books of a partition as its scheduler sees them. */
class PartitionPlacement(
    private val machineBook: MachineBook,
    private val jobBook: JobBook,
    private val attempts: AttemptLedger,
    private val teams: TeamQuotaLedger,
) : PlacementLedger {
    override val machines: List<Machine> get() = machineBook.all
    override val jobs: List<PartitionJob> get() = jobBook.all

    override fun pressure(team: Int): Double = teams.pressure(team)

    override fun book(job: PartitionJob, machine: Machine, now: Long): Attempt =
        attempts.bookNextTask(job, machine, now)

    override fun stop(attempt: Attempt) = attempts.stop(attempt)

    override fun startableTasks(job: PartitionJob): Int {
        if (job.team < 0) return 0
        return teams.startable(job.team, job.spec, minOf(job.pendingCount, startableInZone(job)))
    }

    /**
     * How many more tasks a job that is spread across zones may start here. Only this partition's tasks can be in its
     * zone, so the attempts here and the tasks in doubt are all that count.
     */
    private fun startableInZone(job: PartitionJob): Int = if (job.spec.spreadAcrossZones) {
        job.spec.maxTasksPerZone - job.active.size - job.inDoubt.cardinality()
    } else {
        Int.MAX_VALUE
    }
}
