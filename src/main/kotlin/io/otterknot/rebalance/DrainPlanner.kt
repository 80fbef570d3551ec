package io.otterknot.rebalance

import io.otterknot.config.LoadSpreadSettings

/**
 * Chooses the tasks on draining machines that are stopped because they complete sooner on another machine, mainly tasks
 * on slow machines. PROTOCOL allows a task to be stopped in order to drain its machine.
 */
internal class DrainPlanner(private val settings: LoadSpreadSettings) {
    private val weights = CostWeights(settings)

    fun plan(snapshot: PlannerSnapshot, limits: StopLimits): MovePlan {
        val plan = MovePlanBuilder()
        for (machine in snapshot.machines.filter { it.draining }) {
            for (task in machine.tasks.filterNot { it.isExemptFromStop }) {
                val gainS = gain(task, machine, snapshot)
                val refusal = refusalReason(task, gainS) ?: limits.refusalReason(listOf(task))
                if (refusal != null) {
                    plan.refuse(task, refusal)
                    continue
                }
                limits.recordStops(listOf(task))
                plan.add(machine.stop(task, snapshot.zone, MoveReason.DRAIN, gainS, beneficiary = null))
            }
        }
        return plan.build()
    }

    private fun refusalReason(task: RunningTask, gainS: Double): RefusalReason? = when {
        task.isCoolingDown -> RefusalReason.COOLDOWN
        task.remainingS < settings.leastRemainingS -> RefusalReason.COMPLETES_SOON
        gainS < settings.marginS -> RefusalReason.GAIN_TOO_SMALL
        else -> null
    }

    /** Returns how many weighted seconds sooner the task would complete on another machine of the partition. */
    private fun gain(task: RunningTask, machine: MachineSnapshot, snapshot: PlannerSnapshot): Double {
        val spec = task.spec
        val partition = snapshot.cluster.partitions.getValue(snapshot.zone)
        val runHereS = task.remainingS * machine.slowness
        val here = PlaceCost(runHereS, ImageCost(true, spec.imageGb, machine.fetchGbPerS))
        val image = partition.imageCost(spec, machine.fetchGbPerS)
        val queueS = maxOf(
            0.0,
            snapshot.cluster.waitS(task.team, snapshot.zone, spec) - snapshot.cluster.runS(snapshot.zone),
        )
        // The other machine repeats progress that was not checkpointed; stopCost includes it.
        val there = PlaceCost(queueS + task.remainingS, image, stop = task.stopCost)
        return LocalityCost.gain(here, there, weights)
    }
}
