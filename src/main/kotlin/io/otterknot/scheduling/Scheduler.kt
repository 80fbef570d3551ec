package io.otterknot.scheduling

import io.otterknot.wire.Priority
import kotlin.random.Random

/**
 * Places the pending tasks of a partition. Does no I/O and reads no clock.
 *
 * A task that is still pending did not fit on any machine in the last full pass. When a heartbeat frees capacity, the
 * scheduler therefore considers only the machine that sent it. It considers all machines in a full pass, which runs
 * after [invalidate] and at least every [FULL_PASS_MS].
 *
 * @param wallTimeOf converts a time of the monotonic clock to wall-clock time in milliseconds
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
        isPreemptionDelayed = { wallTimeOf(lastFullPassMs) - it.readyMs < objectives.preemptionDelayMs(it.spec) },
        stop = ledger::stop,
    )
    private var needsFullPass = true
    private var lastFullPassMs = Long.MIN_VALUE / 2
    private var lastPreemptionMs = Long.MIN_VALUE / 2

    /**
     * Whether some job of the partition may not use spot instances. Jobs that may use them then prefer them, which
     * leaves ordinary machines to that job.
     */
    private var hasOrdinaryWork = false

    /** Requests a full pass, since a task has become pending or may now fit where it did not fit before. */
    fun invalidate() {
        needsFullPass = true
        queue.invalidate()
    }

    /** Places pending tasks on [machine] after its heartbeat, or on all machines if a full pass is due. */
    fun placeOn(machine: Machine, now: Long) {
        if (needsFullPass || now - lastFullPassMs >= FULL_PASS_MS) return placeAll(now)
        queue.refresh(ledger.jobs, now)
        if (!machine.acceptsTasks || queue.isEmpty || !mayHaveCapacity(machine)) return
        PlacementPass(listOf(machine), machine, now).run()
    }

    /** Places one task on a machine that seems to lose responses, to test whether a start command reaches it. */
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

    /** Whether [machine] may have capacity for the smallest pending task. */
    private fun mayHaveCapacity(machine: Machine): Boolean = machine.resources.mayFit(queue.minPendingCores)

    private fun mayStart(job: PartitionJob, now: Long): Boolean =
        !job.pending.isEmpty && job.retryAtMs <= now && ledger.startableTasks(job) > 0

    private fun fits(job: PartitionJob, machine: Machine, now: Long): Boolean =
        machine.isAllowedFor(job.spec) && hasCapacity(job, machine) && !machine.avoids(job.id, now)

    private fun hasCapacity(job: PartitionJob, machine: Machine): Boolean = if (queue.ignoresReservations(job)) {
        machine.resources.canFit(job.spec)
    } else {
        machine.resources.canFitUnreserved(job.spec)
    }

    /**
     * One pass over the queue at time [now] that places tasks on [usable] machines. [only] is set if the pass considers
     * a single machine.
     */
    private inner class PlacementPass(
        private val usable: List<Machine>,
        private val only: Machine?,
        private val now: Long,
    ) {
        /**
         * The usable machines without the full ones. Under overload most machines are full, and each pending job would
         * otherwise check all of them.
         */
        private val usableWithCapacity = usable.filter(::mayHaveCapacity)

        fun run() {
            startOverdueJobs()
            // Jobs within their team's guaranteed quota do not wait for jobs of other teams.
            if (queue.guaranteedBeforeAll) Priority.entries.forEach { serve(queue.guaranteedQueues(it)) }
            val preempts = only == null && now - lastPreemptionMs >= PREEMPTION_MS
            if (preempts) lastPreemptionMs = now
            for (priority in Priority.entries) {
                serve(queue.guaranteedQueues(priority))
                serve(queue.queues(priority))
                if (preempts && priority < Priority.BEST_EFFORT) preemptFor(priority)
            }
        }

        /**
         * Starts one task of each overdue job. Capacity reserved for more urgent jobs counts as free here; otherwise an
         * overdue job might never start.
         */
        private fun startOverdueJobs() {
            for (job in queue.overdue) {
                if (!job.neverStarted || !mayStart(job, now)) continue
                val fitting = usableWithCapacity.filter {
                    it.isAllowedFor(job.spec) && it.resources.canFit(job.spec) && !it.avoids(job.id, now)
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
            preemptor.freeCapacity(priority, pending, usable, now)
        }

        /** Places tasks from [teamQueues] in fair-share order until every queue is exhausted. */
        private fun serve(teamQueues: List<SchedulingQueue.TeamQueue>) {
            for (teamQueue in teamQueues) teamQueue.next = 0
            while (true) {
                val teamQueue = leastServed(teamQueues) ?: return
                val job = nextJob(teamQueue)
                if (!mayStart(job, now) || place(job) == null) teamQueue.next++
            }
        }

        /**
         * Returns the queue of the team with the lowest weighted usage among those that are not exhausted, or null if
         * all are.
         */
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

        /**
         * Returns the next job of [teamQueue]. In a pass over a single machine, a job whose image the machine has may
         * precede jobs of the same rank.
         */
        private fun nextJob(teamQueue: SchedulingQueue.TeamQueue): PartitionJob {
            if (only == null) return teamQueue.jobs[teamQueue.next]
            return teamQueue.pick { it.spec.image in only.images && mayStart(it, now) && fits(it, only, now) }
        }

        private fun place(job: PartitionJob): Attempt? {
            val machine = (if (only == null) chooseMachine(job) else takeIfFits(job, only)) ?: return null
            machine.resources.reserved(job.spec.priority).subtractDownToZero(job.spec)
            return ledger.book(job, machine, now)
        }

        private fun takeIfFits(job: PartitionJob, machine: Machine): Machine? {
            if (!fits(job, machine, now)) return null
            machine.addLoad(machine.resources.share(job.spec))
            return machine
        }

        private fun chooseMachine(job: PartitionJob): Machine? {
            val candidates = job.candidates ?: findCandidates(job).also { job.candidates = it }
            return candidates.choose(random, job.spec)
        }

        private fun findCandidates(job: PartitionJob) =
            JobCandidates(usableWithCapacity, job.spec, hasOrdinaryWork) { fits(job, it, now) }
    }

    private companion object {
        /**
         * The interval between full passes. Until the next one, pending tasks are placed only on machines whose
         * heartbeats report freed capacity.
         */
        const val FULL_PASS_MS = 1_000L
        const val PREEMPTION_MS = 250L
    }
}
