package io.otterknot.scheduling

import io.otterknot.wire.JobSpec
import io.otterknot.wire.Priority
import java.util.PriorityQueue

/**
 * Stops tasks of lower priority where a waiting task would then fit, the least work lost first, and holds the room for
 * it. Without holding it, lower work that waits would take each freed core before the urgent task fits.
 */
class Preemptor(
    private val startable: (PartitionJob) -> Int,
    private val patient: (PartitionJob) -> Boolean,
    private val stop: (Attempt) -> Unit,
) {
    private class Option(val machine: Machine, val victims: List<Attempt>, val cost: Double)

    /** Makes room for the waiting [jobs] of one [priority], in their order. */
    fun make(priority: Priority, jobs: List<PartitionJob>, machines: List<Machine>, now: Long) {
        for (machine in machines) machine.reserved(priority).clear()
        val hopeless = ArrayList<JobSpec>()
        val stoppable = HashMap<Machine, List<Attempt>>()
        for (job in jobs) {
            val spec = job.spec
            // What took no room before takes none now: room only gets less as it is held.
            if (hopeless.any {
                    it.cores <= spec.cores && it.memoryGb <= spec.memoryGb && it.cards <= spec.cards &&
                        it.spot == spec.spot &&
                        it.types == spec.types
                }
            ) {
                continue
            }
            var left = startable(job)
            if (left <= 0) continue
            // Machines that have the image first.
            val possible = machines.filter { it.isAllowedFor(spec) && !it.avoids(job.id, now) }.sortedBy {
                spec.image !in
                    it.images
            }
            for (machine in possible) {
                if (left == 0) break
                val open = machine.unreservedRoom(priority)
                while (left > 0 && open.covers(spec)) {
                    open.subtract(spec)
                    machine.reserved(priority).add(spec)
                    left--
                }
            }
            if (left == 0) continue
            val options = PriorityQueue<Option>(compareBy { it.cost })
            for (machine in possible) option(machine, job, stoppable, now)?.let(options::add)
            val waits = patient(job)
            while (left > 0) {
                val best = options.poll() ?: break
                best.machine.reserved(priority).add(spec)
                left--
                if (!waits) best.victims.forEach(stop)
                option(best.machine, job, stoppable, now)?.let(options::add)
            }
            if (left > 0) hopeless.add(spec)
        }
    }

    /** The attempts to stop so that a task fits, those that lose least first; null: not even then would it. */
    private fun option(
        machine: Machine,
        job: PartitionJob,
        stoppable: MutableMap<Machine, List<Attempt>>,
        now: Long,
    ): Option? {
        val spec = job.spec
        val lesser = stoppable.getOrPut(machine) {
            machine.attempts.values.filter {
                it.job.spec.priority > spec.priority && !it.protectedFromPreemption
            }.sortedBy {
                if (it.job.missedObjectives >
                    0
                ) {
                    lostWork(it, now)
                } else {
                    lostWork(it, now) * STILL_GOOD + STILL_GOOD
                }
            }
        }
        if (lesser.isEmpty()) return null
        val open = machine.unreservedRoom(spec.priority)
        val victims = ArrayList<Attempt>()
        for (attempt in lesser) {
            if (attempt.stopping || !attempt.occupiesMachine) continue
            if (attempt.job.covered && !mayStopCovered(job, now)) continue
            open.add(attempt.job.spec)
            victims.add(attempt)
            if (open.covers(spec)) {
                return Option(
                    machine,
                    victims,
                    victims.sumOf { lostWork(it, now) } + fetch(machine, spec),
                )
            }
        }
        return null
    }

    /**
     * What a team runs within its guarantee gives way only to work within another's, and to that only once it has been
     * so for a while: room that comes free goes to it first.
     */
    private fun mayStopCovered(job: PartitionJob, now: Long): Boolean =
        job.covered && now - job.coveredSinceMs >= COVERED_PATIENCE_MS

    /** Core-seconds that go by before the task can begin there. */
    private fun fetch(machine: Machine, spec: JobSpec): Double = if (spec.image in machine.images ||
        machine.type.fetchGbPerS <= 0
    ) {
        0.0
    } else {
        spec.imageGb / machine.type.fetchGbPerS * spec.cores
    }

    /** Core-seconds that stopping an attempt throws away. */
    private fun lostWork(attempt: Attempt, now: Long): Double = if (attempt.phase ==
        AttemptPhase.RUNNING
    ) {
        (now - attempt.phaseSinceMs) / 1000.0 * attempt.job.spec.cores
    } else {
        0.0
    }

    private companion object {
        /** How much dearer it is to stop a task of a job that may still meet its aims: one late task makes it late. */
        const val STILL_GOOD = 3.0
        const val COVERED_PATIENCE_MS = 2_500L
    }
}
