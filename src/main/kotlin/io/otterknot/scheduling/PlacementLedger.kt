package io.otterknot.scheduling

/** What the scheduler reads of a partition, and the only two ways in which it changes it. */
interface PlacementLedger {
    val machines: List<Machine>
    val jobs: List<PartitionJob>

    /** How many more tasks of [job] its team's quota share and its own spread over zones allow here now. */
    fun startableTasks(job: PartitionJob): Int

    /** Cores that the team uses here, divided by its weight: the lower, the sooner it is served (fair share). */
    fun pressure(team: Int): Double

    /** Books the job's next pending task on [machine]. */
    fun book(job: PartitionJob, machine: Machine, now: Long): Attempt

    /** Preempts [attempt]. */
    fun stop(attempt: Attempt)
}
