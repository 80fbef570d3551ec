package io.otterknot.scheduling

/** The part of a partition that the scheduler reads; [book] and [stop] are the only changes it makes. */
interface PlacementLedger {
    val machines: List<Machine>
    val jobs: List<PartitionJob>

    /** Returns how many more tasks of [job] its team's quota share and its spread over zones allow here now. */
    fun startableTasks(job: PartitionJob): Int

    /** Returns the cores that [team] uses here, divided by its weight. Under fair share the lowest is served first. */
    fun pressure(team: Int): Double

    /** Books the job's next pending task on [machine]. */
    fun book(job: PartitionJob, machine: Machine, now: Long): Attempt

    /** Preempts [attempt]. */
    fun stop(attempt: Attempt)
}
