package io.otterknot.partition

import io.otterknot.scheduling.PartitionJob
import io.otterknot.scheduling.Resources
import java.util.TreeSet

/** The pending tasks of one team in a partition. */
class TeamWaiting {
    /** The resources that all of them request in total. */
    var resources = Resources.NONE
        internal set

    /** Jobs with pending tasks, those that have been ready longest first. */
    internal val jobs = TreeSet(compareBy<PartitionJob> { it.readyMs }.thenBy { it.id })

    /**
     * When the job that has been ready longest became so, in milliseconds of wall-clock time, or null if none is
     * pending.
     */
    val oldestReadyMs: Long? get() = jobs.firstOrNull()?.readyMs
}

/**
 * The pending tasks of a partition, by team. A change to the pending tasks of a job is recorded by [markChanged], in
 * constant time; only these jobs are recounted, and only when [ofTeam] is called. Nothing is recorded until [follow] is
 * called.
 */
class WaitingWork(teamCount: Int) {
    private val byTeam = List(teamCount) { TeamWaiting() }
    private val changedJobs = LinkedHashSet<PartitionJob>()

    /** How many pending tasks of each job are included in the sums. */
    private val countedTasks = HashMap<PartitionJob, Int>()

    private var isFollowed = false

    /** How many times a job has been recounted; tests use it to measure the cost of a change. */
    var recounts = 0L
        private set

    /** Starts counting the pending tasks of [jobs] and of all jobs that change from now on. */
    fun follow(jobs: List<PartitionJob>) {
        if (isFollowed) return
        isFollowed = true
        changedJobs.addAll(jobs)
    }

    /** Stops counting and discards all counts, until [follow] is called again. */
    fun unfollow() {
        isFollowed = false
        changedJobs.clear()
        countedTasks.clear()
        for (team in byTeam) {
            team.resources = Resources.NONE
            team.jobs.clear()
        }
    }

    /** Records that the pending tasks of [job] may have changed. */
    fun markChanged(job: PartitionJob) {
        if (isFollowed) changedJobs.add(job)
    }

    fun ofTeam(team: Int): TeamWaiting {
        changedJobs.forEach(::recount)
        changedJobs.clear()
        return byTeam[team]
    }

    private fun recount(job: PartitionJob) {
        recounts++
        if (job.team < 0) return
        val team = byTeam[job.team]
        val before = countedTasks[job] ?: 0
        val waiting = if (job.finished) 0 else job.pendingCount
        if (waiting == before) return
        team.resources += Resources.of(job.spec) * (waiting - before).toDouble()
        if (waiting > 0) {
            countedTasks[job] = waiting
            team.jobs.add(job)
        } else {
            countedTasks.remove(job)
            team.jobs.remove(job)
        }
    }
}
