package io.otterknot.scheduling

import io.otterknot.wire.JobSpec
import io.otterknot.wire.Priority
import java.util.PriorityQueue

/**
 * Preempts tasks of lower priority so that a pending task fits, beginning with those that lose the least work, and
 * reserves the freed capacity for the pending task. Without the reservation, pending tasks of lower priority would take
 * each freed core before the urgent task fits. The rules are those of PROTOCOL, "Preemption": only tasks of a lower
 * priority are stopped here.
 *
 * @param startableTasks returns how many tasks of a job may start now
 * @param isPreemptionDelayed returns whether preemption for a job is still delayed to let running tasks finish
 */
class Preemptor(
    private val startableTasks: (PartitionJob) -> Int,
    private val isPreemptionDelayed: (PartitionJob) -> Boolean,
    private val stop: (Attempt) -> Unit,
) {
    /** A way to fit one task on [machine] by stopping [victims]; [cost] is in core-seconds. */
    private class Option(val machine: Machine, val victims: List<Attempt>, val cost: Double)

    /** Frees capacity for the pending [jobs] of one [priority], in order, and replaces its earlier reservations. */
    fun freeCapacity(priority: Priority, jobs: List<PartitionJob>, machines: List<Machine>, now: Long) {
        for (machine in machines) machine.resources.reserved(priority).clear()
        val round = Round(machines, now)
        for (job in jobs) round.freeCapacityFor(job)
    }

    private inner class Round(private val machines: List<Machine>, private val now: Long) {
        /**
         * Specifications for which no capacity was found. Reservations only reduce the capacity during a round, so a
         * job that requires at least as much can be skipped.
         */
        private val unplaceable = ArrayList<JobSpec>()
        private val preemptible = HashMap<Machine, List<Attempt>>()

        fun freeCapacityFor(job: PartitionJob) {
            val spec = job.spec
            if (unplaceable.any { requiresAtLeast(spec, it) }) return
            val taskCount = startableTasks(job)
            if (taskCount <= 0) return
            val possible = machines
                .filter { it.isAllowedFor(spec) && !it.avoids(job.id, now) }
                .sortedBy { spec.image !in it.images }
            val unreservedCount = reserveFreeCapacity(spec, taskCount, possible)
            if (unreservedCount == 0) return
            val unserved = preempt(job, unreservedCount, possible)
            if (unserved > 0) unplaceable.add(spec)
        }

        private fun requiresAtLeast(spec: JobSpec, other: JobSpec): Boolean {
            val needsAsMuch = other.cores <= spec.cores && other.memoryGb <= spec.memoryGb && other.gpus <= spec.gpus
            return needsAsMuch && other.spot == spec.spot && other.types == spec.types
        }

        /** Reserves free capacity for up to [taskCount] tasks. Returns the number of tasks without a reservation. */
        private fun reserveFreeCapacity(spec: JobSpec, taskCount: Int, possible: List<Machine>): Int {
            var left = taskCount
            for (machine in possible) {
                if (left == 0) break
                val capacity = machine.resources.unreservedCapacity(spec.priority)
                while (left > 0 && capacity.covers(spec)) {
                    capacity.subtract(spec)
                    machine.resources.reserved(spec.priority).add(spec)
                    left--
                }
            }
            return left
        }

        /**
         * Preempts, the cheapest option first, and reserves the freed capacity for up to [taskCount] tasks. While
         * [isPreemptionDelayed] holds for the job, capacity is reserved without stopping any task. Returns the number
         * of tasks without a reservation.
         */
        private fun preempt(job: PartitionJob, taskCount: Int, possible: List<Machine>): Int {
            val options = PriorityQueue<Option>(compareBy { it.cost })
            for (machine in possible) cheapestOption(machine, job)?.let(options::add)
            val isPreemptionDelayed = isPreemptionDelayed(job)
            var left = taskCount
            while (left > 0) {
                val best = options.poll() ?: break
                best.machine.resources.reserved(job.spec.priority).add(job.spec)
                left--
                if (!isPreemptionDelayed) best.victims.forEach(stop)
                cheapestOption(best.machine, job)?.let(options::add)
            }
            return left
        }

        /** Returns which attempts to stop on [machine] so that a task of [job] fits, or null if it cannot fit. */
        private fun cheapestOption(machine: Machine, job: PartitionJob): Option? {
            val spec = job.spec
            val lowerAttempts = preemptible.getOrPut(machine) { findPreemptible(machine, spec.priority) }
            if (lowerAttempts.isEmpty()) return null
            val capacity = machine.resources.unreservedCapacity(spec.priority)
            val victims = ArrayList<Attempt>()
            for (attempt in lowerAttempts) {
                if (!mayStop(attempt, job)) continue
                capacity.add(attempt.job.spec)
                victims.add(attempt)
                if (capacity.covers(spec)) return Option(machine, victims, cost(victims, machine, spec))
            }
            return null
        }

        private fun findPreemptible(machine: Machine, priority: Priority): List<Attempt> = machine.attempts.values
            .filter { it.job.spec.priority > priority && !it.protectedFromPreemption }
            .sortedBy(::weightedLoss)

        private fun mayStop(attempt: Attempt, job: PartitionJob): Boolean {
            if (attempt.stopping || !attempt.occupiesMachine) return false
            return !attempt.job.isWithinGuarantee || mayPreemptGuaranteed(job)
        }

        /**
         * Whether [job] may preempt a task that is within its team's guaranteed quota. That is so only if [job] has
         * been within its own team's guaranteed quota for some time; until then it relies on capacity that becomes
         * free, which it gets first.
         */
        private fun mayPreemptGuaranteed(job: PartitionJob): Boolean =
            job.isWithinGuarantee && now - job.guaranteeStatusSinceMs >= GUARANTEE_PREEMPTION_DELAY_MS

        private fun cost(victims: List<Attempt>, machine: Machine, spec: JobSpec): Double =
            victims.sumOf(::lostWork) + fetchCost(machine, spec)

        /** Returns the core-seconds spent fetching the image before a task of [spec] can start on [machine]. */
        private fun fetchCost(machine: Machine, spec: JobSpec): Double {
            val needsNoFetch = spec.image in machine.images || machine.type.fetchGbPerS <= 0
            return if (needsNoFetch) 0.0 else spec.imageGb / machine.type.fetchGbPerS * spec.cores
        }

        /** Returns the lost work by which victims are ordered, weighted for jobs that have missed no objective. */
        private fun weightedLoss(attempt: Attempt): Double {
            val loss = lostWork(attempt)
            val hasMissed = attempt.job.missedObjectives > 0
            return if (hasMissed) loss else loss * ON_TIME_WEIGHT + ON_TIME_WEIGHT
        }

        /** Returns the core-seconds of work that are lost if [attempt] is stopped. */
        private fun lostWork(attempt: Attempt): Double {
            if (attempt.phase != AttemptPhase.RUNNING) return 0.0
            return (now - attempt.phaseSinceMs) / 1000.0 * attempt.job.spec.cores
        }
    }

    private companion object {
        /**
         * The weight for stopping a task of a job that may still meet its objectives, since a single late task makes
         * the whole job miss them.
         */
        const val ON_TIME_WEIGHT = 3.0
        const val GUARANTEE_PREEMPTION_DELAY_MS = 2_500L
    }
}
