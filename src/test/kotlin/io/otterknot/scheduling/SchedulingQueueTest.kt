package io.otterknot.scheduling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class SchedulingQueueTest {
    private val objectives = ServiceLevelObjectives(
        mapOf("k" to listOf(ServiceLevelObjective.Deadline(1.0), ServiceLevelObjective.Started(180.0, 0.9))),
    )

    /**
     * Guards against sorting by the number of missed objectives alone: a job that has missed one would then wait behind
     * all new jobs until it has missed all of its objectives.
     */
    @Test
    fun `jobs are sorted by the next objective at risk, then by missed objectives, then by least work`() {
        val jobs = listOf(
            pendingJob("all missed", 1, 200),
            pendingJob("one missed", 2, 100),
            pendingJob("one missed, next at risk", 50, 160),
            pendingJob("new", 9, 1),
            pendingJob("first at risk", 30, 40),
            pendingJob("new and large", 90, 2),
            pendingJob("of a class without objectives", 7, 300, "other"),
        )
        val order = SchedulingQueue(objectives) { it }.sorted(jobs, NOW_S * 1_000).map { it.id }
        assertEquals(
            listOf(
                "first at risk",
                "one missed, next at risk",
                "of a class without objectives",
                "new",
                "new and large",
                "one missed",
                "all missed",
            ),
            order,
        )
    }

    private fun pendingJob(id: String, tasks: Int, ageS: Long, jobClass: String = "k"): PartitionJob {
        val spec = jobSpec(tasks).copy(id = id, jobClass = jobClass, dueS = 70.0, estimateS = 20.0)
        val job = waitingJob(spec, (NOW_S - ageS) * 1_000)
        job.owned.set(0, tasks)
        job.makePending(job.owned, StartReason.NEVER_STARTED)
        return job
    }

    private companion object {
        const val NOW_S = 1_000L
    }
}
