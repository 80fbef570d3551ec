package io.otterknot.partition

import io.otterknot.scheduling.PartitionJob
import io.otterknot.scheduling.Resources
import java.util.TreeSet

/** The waiting tasks of one team in a partition. */
class TeamWaiting {
    /** What all of them together ask for. */
    var resources = Resources.NONE
        internal set

    /** Jobs with waiting tasks, those that have waited longest first. */
    internal val jobs = TreeSet(compareBy<PartitionJob> { it.readyMs }.thenBy { it.id })

    /** Since when the job that has waited longest could run, by the time of day in milliseconds; null: none waits. */
    val oldestReadyMs: Long? get() = jobs.firstOrNull()?.readyMs
}

/**
 * The waiting tasks of a partition, by team. Whoever changes which tasks of a job wait calls [touch], in constant time;
 * only touched jobs are counted anew, and only when somebody asks. Until [follow] is called nothing is kept.
 */
class WaitingWork(teamCount: Int) {
    private val byTeam = List(teamCount) { TeamWaiting() }
    private val touched = LinkedHashSet<PartitionJob>()

    /** How many waiting tasks of each job are in the sums. */
    private val countedTasks = HashMap<PartitionJob, Int>()

    private var isFollowed = false

    /** How many jobs have been counted anew; tests measure the cost of a change by it. */
    var recounts = 0L
        private set

    /** Begins to follow [jobs], and all that are touched from now on. */
    fun follow(jobs: List<PartitionJob>) {
        if (isFollowed) return
        isFollowed = true
        touched.addAll(jobs)
    }

    /** Drops everything, until [follow] is called once more. */
    fun unfollow() {
        isFollowed = false
        touched.clear()
        countedTasks.clear()
        for (team in byTeam) {
            team.resources = Resources.NONE
            team.jobs.clear()
        }
    }

    /** Which tasks of [job] wait may have changed. */
    fun touch(job: PartitionJob) {
        if (isFollowed) touched.add(job)
    }

    fun ofTeam(team: Int): TeamWaiting {
        touched.forEach(::recount)
        touched.clear()
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
