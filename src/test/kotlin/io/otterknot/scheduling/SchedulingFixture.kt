package io.otterknot.scheduling

import io.otterknot.jobs.Job
import io.otterknot.records.JobRecord
import io.otterknot.testing.applyRecord
import io.otterknot.wire.JobSpec
import io.otterknot.wire.Priority

/** Creates a job of class `k`; [sameZone] and [zone] restrict the partitions in which its tasks may be placed. */
internal fun jobSpec(tasks: Int, sameZone: Boolean = false, zone: String? = null) = JobSpec(
    id = "j-000001",
    jobClass = "k",
    team = "t",
    priority = Priority.HIGH,
    tasks = tasks,
    cores = 2.0,
    memoryGb = 4.0,
    image = "i",
    imageGb = 1.0,
    zone = zone,
    sameZone = sameZone,
    spot = true,
    estimateS = 10.0,
    dueS = 60.0,
)

/** Creates a recorded job of which no task has started. */
internal fun waitingJob(spec: JobSpec, submittedMs: Long): PartitionJob {
    val job = Job(spec.id)
    job.applyRecord(JobRecord(spec, submittedMs = submittedMs))
    return PartitionJob(job, spec, 0)
}
