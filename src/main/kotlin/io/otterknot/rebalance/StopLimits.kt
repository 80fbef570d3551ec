package io.otterknot.rebalance

import io.otterknot.config.LoadSpreadSettings
import kotlin.math.ceil

/**
 * How many tasks may be being stopped at a time, and how much work thrown away, while one plan is made. All bounds are
 * shares of what runs, so they hold at any size. Below a bound all the tasks may be stopped that one other needs to get
 * room: else small partitions could never make any.
 */
internal class StopLimits(private val settings: LoadSpreadSettings, private val snapshot: PlannerSnapshot) {
    private var stops = snapshot.open.stops
    private val byTeam = HashMap(snapshot.open.stopsByTeam)
    private val byJob = HashMap(snapshot.open.stopsByJob)
    private val stoppingCores = HashMap(snapshot.open.stoppingCoresByTeam)
    private var lostWorkLeft = snapshot.lostWorkLeft

    /** Why [tasks] may not be stopped together; null: they may. */
    fun hindrance(tasks: List<RunningTask>): RefusalReason? {
        val isFull = stops >= most(snapshot.runningTasks, settings.partitionStopShare) ||
            tasks.any { (byTeam[it.team] ?: 0) >= mostOfTeam(it.team) } ||
            tasks.any { (byJob[it.spec.id] ?: 0) >= mostOfJob(it.spec.id) }
        return when {
            isFull -> RefusalReason.TOO_MANY_MOVES
            tasks.sumOf { it.lostCoreS } > lostWorkLeft -> RefusalReason.LOST_WORK_BUDGET
            else -> null
        }
    }

    private fun mostOfTeam(team: String) = most(snapshot.runningByTeam[team] ?: 0, settings.teamStopShare)

    private fun mostOfJob(job: String) = most(snapshot.runningByJob[job] ?: 0, settings.jobStopShare)

    private fun most(running: Int, share: Double): Int = maxOf(1, ceil(running * share).toInt())

    /** Of the cores that a team uses above its guarantee here, how many are not being given back yet. */
    fun excessLeft(team: String): Double =
        snapshot.cluster.excessCores(team, snapshot.zone) - (stoppingCores[team] ?: 0.0)

    fun note(tasks: List<RunningTask>) {
        for (task in tasks) {
            stops++
            byTeam.merge(task.team, 1, Int::plus)
            byJob.merge(task.spec.id, 1, Int::plus)
            stoppingCores.merge(task.team, task.spec.cores, Double::plus)
            lostWorkLeft -= task.lostCoreS
        }
    }
}
