package io.otterknot.partition

import io.otterknot.scheduling.PartitionJob
import io.otterknot.scheduling.Resources
import java.util.TreeSet

/** What waits of one team in a partition. */
class TeamWaiting {
    var resources = Resources.NONE
        internal set

    /** Jobs of which tasks wait, those that have waited longest first. */
    internal val jobs = TreeSet(compareBy<PartitionJob> { it.readyMs }.thenBy { it.id })

    /** Since when the job that has waited longest could run, by the time of day; null: nothing waits. */
    val oldestReadyMs: Long? get() = jobs.firstOrNull()?.readyMs
}

/**
 * What waits in a partition, by team. Whoever changes which tasks of a job wait says so with [touch], in constant time;
 * only jobs that were touched are counted anew, and only when somebody asks. Until it is [follow]ed nothing is kept.
 */
class WaitingWork(teamCount: Int) {
    private val byTeam = List(teamCount) { TeamWaiting() }
    private val touched = LinkedHashSet<PartitionJob>()

    /** How many waiting tasks of each job are in the sums. */
    private val counted = HashMap<PartitionJob, Int>()

    private var isFollowed = false

    /** How many jobs have been counted anew; tests tell the cost of a change by it. */
    var recounts = 0L
        private set

    /** Begins to follow [jobs] and all that come. */
    fun follow(jobs: List<PartitionJob>) {
        if (isFollowed) return
        isFollowed = true
        touched.addAll(jobs)
    }

    /** Forgets everything, until it is followed once more. */
    fun unfollow() {
        isFollowed = false
        touched.clear()
        counted.clear()
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
        val before = counted[job] ?: 0
        val waiting = if (job.finished) 0 else job.pendingCount
        if (waiting == before) return
        team.resources += Resources.of(job.spec) * (waiting - before).toDouble()
        if (waiting > 0) {
            counted[job] = waiting
            team.jobs.add(job)
        } else {
            counted.remove(job)
            team.jobs.remove(job)
        }
    }
}
