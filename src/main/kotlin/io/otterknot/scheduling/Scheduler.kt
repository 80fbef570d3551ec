package io.otterknot.scheduling

import io.otterknot.wire.Priority
import kotlin.random.Random

/**
 * Places the pending tasks of a partition. Does no I/O and reads no clock.
 *
 * A task that is pending fits nowhere, or it would have been placed. So when a heartbeat frees room, only its machine is
 * looked at; all machines are, once something has become pending or every [FULL_PASS_MS].
 *
 * @param wallTimeOf the time of day, in milliseconds, of a moment of the steady clock
 */
class Scheduler(
    private val ledger: PlacementLedger,
    private val objectives: ServiceLevelObjectives,
    private val wallTimeOf: (Long) -> Long,
    private val random: Random,
) {
    /** The order in which pending jobs are served. */
    val queue = SchedulingQueue(objectives, wallTimeOf)
    private val preemptor = Preemptor(
        startableTasks = { minOf(it.pendingCount, ledger.startableTasks(it)) },
        isPatient = { wallTimeOf(lastFullPassMs) - it.readyMs < objectives.patienceMs(it.spec) },
        stop = ledger::stop,
    )
    private var needsFullPass = true
    private var lastFullPassMs = Long.MIN_VALUE / 2
    private var lastPreemptionMs = Long.MIN_VALUE / 2

    /** Some job here must not use spot instances, so those are taken first by jobs that may. */
    private var hasOrdinaryWork = false

    /** Something has become pending, or fits where it did not: the next pass looks at all machines. */
    fun invalidate() {
        needsFullPass = true
        queue.invalidate()
    }

    /** Places pending tasks on [machine], whose heartbeat has just come in. */
    fun placeOn(machine: Machine, now: Long) {
        if (needsFullPass || now - lastFullPassMs >= FULL_PASS_MS) return placeAll(now)
        queue.refresh(ledger.jobs, now)
        if (!machine.acceptsTasks || queue.isEmpty || !mayHaveRoom(machine)) return
        PlacementPass(listOf(machine), machine, now).run()
    }

    /** Places one task on a machine that seems to lose responses: whether it starts tells. */
    fun probe(machine: Machine, now: Long) {
        queue.refresh(ledger.jobs, now)
        for (priority in Priority.entries) {
            for (teamQueue in queue.queues(priority)) {
                val job = teamQueue.jobs.firstOrNull { mayStart(it, now) && fits(it, machine, now) } ?: continue
                ledger.book(job, machine, now)
                return
            }
        }
    }

    /** Places pending tasks on all machines, preempting where the rules allow it. */
    fun placeAll(now: Long) {
        needsFullPass = false
        lastFullPassMs = now
        queue.refresh(ledger.jobs, now)
        if (queue.isEmpty) return
        hasOrdinaryWork = ledger.jobs.any { !it.spec.spot }
        // The candidates of an earlier pass are out of date.
        ledger.jobs.forEach { it.candidates = null }
        PlacementPass(ledger.machines.filter { it.acceptsTasks }, null, now).run()
    }

    /** It has room for the smallest pending task. */
    private fun mayHaveRoom(machine: Machine): Boolean =
        machine.usedCores + queue.leastCores <= machine.type.cores + Machine.EPSILON

    private fun mayStart(job: PartitionJob, now: Long): Boolean =
        !job.pending.isEmpty && job.retryAtMs <= now && ledger.startableTasks(job) > 0

    private fun fits(job: PartitionJob, machine: Machine, now: Long): Boolean =
        machine.isAllowedFor(job.spec) && hasRoom(job, machine) && !machine.avoids(job.id, now)

    private fun hasRoom(job: PartitionJob, machine: Machine): Boolean =
        if (queue.ignoresReservations(job)) machine.hasRoomFor(job.spec) else machine.hasUnreservedRoomFor(job.spec)

    /** One pass over the queue at the moment [now], on [usable] machines; [only]: the single machine it looks at. */
    private inner class PlacementPass(
        private val usable: List<Machine>,
        private val only: Machine?,
        private val now: Long,
    ) {
        /** Under overload most machines are full, and each pending job would look at all of them. */
        private val withRoom = usable.filter(::mayHaveRoom)

        fun run() {
            startOverdueJobs()
            // Work within its team's guaranteed quota need not wait for other teams.
            if (queue.coveredBeforeAll) Priority.entries.forEach { serve(queue.coveredQueues(it)) }
            val preempts = only == null && now - lastPreemptionMs >= PREEMPTION_MS
            if (preempts) lastPreemptionMs = now
            for (priority in Priority.entries) {
                serve(queue.coveredQueues(priority))
                serve(queue.queues(priority))
                if (preempts && priority < Priority.BEST_EFFORT) preemptFor(priority)
            }
        }

        /**
         * Starts one task of each job that has not begun for long. Room that is reserved for more urgent work counts as
         * free here, or the job would wait behind that work for ever.
         */
        private fun startOverdueJobs() {
            for (job in queue.overdue) {
                if (!job.neverStarted || !mayStart(job, now)) continue
                val fitting = withRoom.filter {
                    it.isAllowedFor(job.spec) && it.hasRoomFor(job.spec) && !it.avoids(job.id, now)
                }
                val candidates = JobCandidates(fitting, job.spec, hasOrdinaryWork) { true }
                val machine = candidates.choose(random, job.spec) ?: continue
                ledger.book(job, machine, now).protectFromPreemption()
            }
        }

        private fun preemptFor(priority: Priority) {
            val pending = queue.queues(priority).flatMap { teamQueue ->
                teamQueue.jobs.filter { !it.pending.isEmpty && it.retryAtMs <= now }
            }
            preemptor.makeRoom(priority, pending, usable, now)
        }

        /** Serves [teamQueues] by fair share, until each has come to its end. */
        private fun serve(teamQueues: List<SchedulingQueue.TeamQueue>) {
            for (teamQueue in teamQueues) teamQueue.next = 0
            while (true) {
                val teamQueue = leastServed(teamQueues) ?: return
                val job = nextJob(teamQueue)
                if (!mayStart(job, now) || place(job) == null) teamQueue.next++
            }
        }

        /** The queue, not at its end yet, of the team that uses least for its weight; null: all are at their end. */
        private fun leastServed(teamQueues: List<SchedulingQueue.TeamQueue>): SchedulingQueue.TeamQueue? {
            var chosen: SchedulingQueue.TeamQueue? = null
            var leastPressure = Double.MAX_VALUE
            for (teamQueue in teamQueues) {
                if (teamQueue.head == null) continue
                val pressure = ledger.pressure(teamQueue.team)
                if (chosen == null || pressure < leastPressure) {
                    chosen = teamQueue
                    leastPressure = pressure
                }
            }
            return chosen
        }

        /** On a single machine, a job whose image it has may come before others that are as urgent. */
        private fun nextJob(teamQueue: SchedulingQueue.TeamQueue): PartitionJob {
            if (only == null) return teamQueue.jobs[teamQueue.next]
            return teamQueue.pick { it.spec.image in only.images && mayStart(it, now) && fits(it, only, now) }
        }

        private fun place(job: PartitionJob): Attempt? {
            val machine = (if (only == null) chooseMachine(job) else takeIfFits(job, only)) ?: return null
            machine.reserved(job.spec.priority).subtractDownToZero(job.spec)
            return ledger.book(job, machine, now)
        }

        private fun takeIfFits(job: PartitionJob, machine: Machine): Machine? {
            if (!fits(job, machine, now)) return null
            machine.addLoad(machine.share(job.spec))
            return machine
        }

        private fun chooseMachine(job: PartitionJob): Machine? {
            val candidates = job.candidates ?: findCandidates(job).also { job.candidates = it }
            return candidates.choose(random, job.spec)
        }

        private fun findCandidates(job: PartitionJob) =
            JobCandidates(withRoom, job.spec, hasOrdinaryWork) { fits(job, it, now) }
    }

    private companion object {
        /** How long pending tasks rely on being placed by the heartbeat of the machine that frees room. */
        const val FULL_PASS_MS = 1_000L
        const val PREEMPTION_MS = 250L
    }
}
