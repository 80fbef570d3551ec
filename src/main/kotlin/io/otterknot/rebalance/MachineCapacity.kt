package io.otterknot.rebalance

import io.otterknot.config.LoadSpreadSettings
import io.otterknot.scheduling.MutableResources

/** The [tasks] of one machine to stop so that one waiting task fits there; [cost] in weighted core-seconds. */
internal class StopCandidate(val capacity: MachineCapacity, val tasks: List<RunningTask>, val cost: Double)

/** The free capacity of one [machine] during planning; tasks with a planned stop count as stopped. */
internal class MachineCapacity(val machine: MachineSnapshot, private val settings: LoadSpreadSettings) {
    private val free = MutableResources(
        machine.free.cores,
        machine.free.memoryGb,
        machine.free.gpus,
        machine.freeStatusBytes,
        machine.freeSmallTaskBytes,
    )
    private val stoppedAttempts = HashSet<Long>()

    /**
     * Returns the tasks to stop so that one task of [job] fits: the least urgent first, then those that lose the least
     * work. Returns null if the task does not fit even then, or fits without a stop.
     */
    fun stopCandidate(job: WaitingJob, limits: StopLimits, weights: CostWeights): StopCandidate? {
        val available = free.copy()
        val chosen = ArrayList<RunningTask>()
        val excessCores = HashMap<String, Double>()
        for (task in machine.tasks.sortedWith(LEAST_URGENT_FIRST).filter { isStoppable(it, job) }) {
            if (available.covers(job.spec)) break
            val excess = excessCores.getOrPut(task.team) { limits.remainingExcessCores(task.team) }
            if (excess < task.spec.cores) continue
            excessCores[task.team] = excess - task.spec.cores
            available.add(task.spec)
            chosen.add(task)
        }
        if (chosen.isEmpty() || !available.covers(job.spec)) return null
        return StopCandidate(this, chosen, cost(job, chosen, weights))
    }

    private fun isStoppable(task: RunningTask, job: WaitingJob): Boolean {
        val isProtected = task.isWithinGuarantee || task.isExemptFromStop || task.isCoolingDown
        val isPlanned = task.attempt in stoppedAttempts
        if (task.team == job.team || isProtected || isPlanned) return false
        val isPriorityLowEnough = settings.anyPriority || task.priority >= job.spec.priority
        return isPriorityLowEnough && task.remainingS >= settings.leastRemainingS
    }

    private fun cost(job: WaitingJob, chosen: List<RunningTask>, weights: CostWeights): Double {
        val image = ImageCost(machine.hasImage(job.spec.image), job.spec.imageGb, machine.fetchGbPerS)
        return chosen.sumOf { it.lostCoreS } * weights.lostWork + image.seconds * job.spec.cores * weights.fetch
    }

    /** Counts the tasks [stopped] as stopped and one task of [job] as placed here. */
    fun replace(stopped: List<RunningTask>, job: WaitingJob) {
        for (task in stopped) {
            free.add(task.spec)
            stoppedAttempts.add(task.attempt)
        }
        free.subtract(job.spec)
    }

    private companion object {
        /** The least urgent first, then those that lose the least work. */
        val LEAST_URGENT_FIRST =
            compareByDescending<RunningTask> { it.priority }.thenBy { it.lostCoreS }.thenBy { it.attempt }
    }
}
