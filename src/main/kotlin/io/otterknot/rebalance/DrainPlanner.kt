package io.otterknot.rebalance

import io.otterknot.config.LoadSpreadSettings

/**
 * Decides which tasks on machines that are being emptied are stopped, since they end sooner elsewhere: slow machines
 * above all. PROTOCOL allows a task to be stopped in order to drain its machine.
 */
internal class DrainPlanner(private val settings: LoadSpreadSettings) {
    private val weights = CostWeights(settings)

    fun plan(snapshot: PlannerSnapshot, limits: StopLimits): MovePlan {
        val moves = ArrayList<Move>()
        val refusals = ArrayList<MoveRefusal>()
        for (machine in snapshot.machines) {
            if (!machine.draining) continue
            for (task in machine.tasks) {
                if (task.isExemptFromStop) continue
                val gainS = gain(task, machine, snapshot)
                val refused = refusalReason(task, gainS) ?: limits.refusalReason(listOf(task))
                if (refused != null) {
                    refusals.add(MoveRefusal(task.team, task.spec.id, refused))
                    continue
                }
                limits.recordStops(listOf(task))
                moves.add(machine.stop(task, snapshot.zone, MoveReason.DRAIN, gainS, beneficiary = null))
            }
        }
        return MovePlan(moves, refusals)
    }

    private fun refusalReason(task: RunningTask, gainS: Double): RefusalReason? = when {
        task.isCoolingDown -> RefusalReason.COOLDOWN
        task.remainingS < settings.leastRemainingS -> RefusalReason.COMPLETES_SOON
        gainS < settings.marginS -> RefusalReason.GAIN_TOO_SMALL
        else -> null
    }

    /** How much sooner the task would end on another machine of the partition. */
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
        // What it has done here is repeated there unless it saves; the cost of that is in the stop.
        val there = PlaceCost(queueS + task.remainingS, image, stop = task.stopCost)
        return LocalityCost.gain(here, there, weights)
    }
}
