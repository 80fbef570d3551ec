package io.otterknot.scheduling

import io.otterknot.wire.JobSpec
import io.otterknot.wire.Priority
import java.util.PriorityQueue

/**
 * Preempts tasks of lower priority where a pending task would then fit, those first that lose least work, and reserves
 * the room for it: else lower work that is pending would take each freed core before the urgent task fits. The rules
 * are those of PROTOCOL, "Preemption": only work of a lower priority is stopped here.
 *
 * @param startableTasks how many tasks of a job may start now
 * @param isPatient whether a job still waits for room to come free by itself
 */
class Preemptor(
    private val startableTasks: (PartitionJob) -> Int,
    private val isPatient: (PartitionJob) -> Boolean,
    private val stop: (Attempt) -> Unit,
) {
    /** Stopping [victims] makes room for one task on [machine], at the [cost] of so many core-seconds. */
    private class Option(val machine: Machine, val victims: List<Attempt>, val cost: Double)

    /** Makes room for the pending [jobs] of one [priority], in their order; what was reserved for it before is void. */
    fun makeRoom(priority: Priority, jobs: List<PartitionJob>, machines: List<Machine>, now: Long) {
        for (machine in machines) machine.reserved(priority).clear()
        val round = Round(machines, now)
        for (job in jobs) round.makeRoomFor(job)
    }

    private inner class Round(private val machines: List<Machine>, private val now: Long) {
        /** What found no room. Room only shrinks as it is reserved, so nothing that asks for as much will find any. */
        private val unplaceable = ArrayList<JobSpec>()
        private val preemptible = HashMap<Machine, List<Attempt>>()

        fun makeRoomFor(job: PartitionJob) {
            val spec = job.spec
            if (unplaceable.any { asksForNoLess(spec, it) }) return
            val taskCount = startableTasks(job)
            if (taskCount <= 0) return
            val possible = machines
                .filter { it.isAllowedFor(spec) && !it.avoids(job.id, now) }
                .sortedBy { spec.image !in it.images }
            val withoutRoom = reserveFreeRoom(spec, taskCount, possible)
            if (withoutRoom == 0) return
            val unserved = preempt(job, withoutRoom, possible)
            if (unserved > 0) unplaceable.add(spec)
        }

        private fun asksForNoLess(spec: JobSpec, other: JobSpec): Boolean {
            val takesAsMuch = other.cores <= spec.cores && other.memoryGb <= spec.memoryGb && other.gpus <= spec.gpus
            return takesAsMuch && other.spot == spec.spot && other.types == spec.types
        }

        /** Reserves what is free for up to [taskCount] tasks; how many of them are left without room. */
        private fun reserveFreeRoom(spec: JobSpec, taskCount: Int, possible: List<Machine>): Int {
            var left = taskCount
            for (machine in possible) {
                if (left == 0) break
                val room = machine.unreservedRoom(spec.priority)
                while (left > 0 && room.covers(spec)) {
                    room.subtract(spec)
                    machine.reserved(spec.priority).add(spec)
                    left--
                }
            }
            return left
        }

        /**
         * Reserves room that preemption makes for up to [taskCount] tasks, the cheapest first. A patient job has it
         * reserved without stopping anything yet. Returns how many tasks are left without room.
         */
        private fun preempt(job: PartitionJob, taskCount: Int, possible: List<Machine>): Int {
            val options = PriorityQueue<Option>(compareBy { it.cost })
            for (machine in possible) cheapestOption(machine, job)?.let(options::add)
            val isPatient = isPatient(job)
            var left = taskCount
            while (left > 0) {
                val best = options.poll() ?: break
                best.machine.reserved(job.spec.priority).add(job.spec)
                left--
                if (!isPatient) best.victims.forEach(stop)
                cheapestOption(best.machine, job)?.let(options::add)
            }
            return left
        }

        /** The attempts to stop on [machine] so that a task of [job] fits; null: not even then would it. */
        private fun cheapestOption(machine: Machine, job: PartitionJob): Option? {
            val spec = job.spec
            val lowerAttempts = preemptible.getOrPut(machine) { findPreemptible(machine, spec.priority) }
            if (lowerAttempts.isEmpty()) return null
            val room = machine.unreservedRoom(spec.priority)
            val victims = ArrayList<Attempt>()
            for (attempt in lowerAttempts) {
                if (!mayStop(attempt, job)) continue
                room.add(attempt.job.spec)
                victims.add(attempt)
                if (room.covers(spec)) return Option(machine, victims, cost(victims, machine, spec))
            }
            return null
        }

        private fun findPreemptible(machine: Machine, priority: Priority): List<Attempt> = machine.attempts.values
            .filter { it.job.spec.priority > priority && !it.protectedFromPreemption }
            .sortedBy(::weightedLoss)

        private fun mayStop(attempt: Attempt, job: PartitionJob): Boolean {
            if (attempt.stopping || !attempt.occupiesMachine) return false
            return !attempt.job.covered || mayStopCovered(job)
        }

        /**
         * What a team runs within its guaranteed quota gives way only to work within another team's, and to that only
         * once it has been covered for a while: room that comes free goes to it first.
         */
        private fun mayStopCovered(job: PartitionJob): Boolean =
            job.covered && now - job.coveredSinceMs >= COVERED_PATIENCE_MS

        private fun cost(victims: List<Attempt>, machine: Machine, spec: JobSpec): Double =
            victims.sumOf(::lostWork) + fetchCost(machine, spec)

        /** Core-seconds that go by before the task can begin on [machine]. */
        private fun fetchCost(machine: Machine, spec: JobSpec): Double {
            val needsNoFetch = spec.image in machine.images || machine.type.fetchGbPerS <= 0
            return if (needsNoFetch) 0.0 else spec.imageGb / machine.type.fetchGbPerS * spec.cores
        }

        /** What orders the victims: lost work, weighed up for jobs that may still meet their objectives. */
        private fun weightedLoss(attempt: Attempt): Double {
            val loss = lostWork(attempt)
            val hasMissed = attempt.job.missedObjectives > 0
            return if (hasMissed) loss else loss * ON_TIME_WEIGHT + ON_TIME_WEIGHT
        }

        /** Core-seconds that stopping [attempt] throws away. */
        private fun lostWork(attempt: Attempt): Double {
            if (attempt.phase != AttemptPhase.RUNNING) return 0.0
            return (now - attempt.phaseSinceMs) / 1000.0 * attempt.job.spec.cores
        }
    }

    private companion object {
        /** How much dearer it is to stop a task of a job that may still meet its objectives: one late task fails it. */
        const val ON_TIME_WEIGHT = 3.0
        const val COVERED_PATIENCE_MS = 2_500L
    }
}
