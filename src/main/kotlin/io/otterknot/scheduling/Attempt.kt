package io.otterknot.scheduling

/**
 * One attempt to run a task on one machine. [id] is unique across all leaders of the partition.
 *
 * Like everything in this package, it is used only on the controller's event loop.
 */
class Attempt(
    val job: PartitionJob,
    val task: Int,
    val id: Long,
    val machine: Machine,
    phase: AttemptPhase,
    phaseSinceMs: Long,
) {
    var phase = phase
        private set

    /** When the attempt was booked, its start was sent, or it began to run, whichever came last. */
    var phaseSinceMs = phaseSinceMs
        private set

    /**
     * Whether a stop is requested. The halt command is sent with the next response and repeated until the attempt has
     * exited, except while it saves a checkpoint.
     */
    var stopping = false
        private set

    /** When a heartbeat first reported that the attempt writes its checkpoint, or null if none has. */
    var savingSinceMs: Long? = null
        private set

    /** Whether this leader has sent the start command; false for an attempt adopted from an earlier leader. */
    private var startSent = false

    /** Whether this leader observed the transition to running, so that [phaseSinceMs] gives the run time. */
    var seenRunning = false
        private set

    /** Whether the attempt may not be preempted, because it was placed ahead of more urgent work for an overdue job. */
    var protectedFromPreemption = false
        private set

    /** The sequence number of the last heartbeat that reported this attempt, or -1 if none has. */
    var lastShownSequence = -1L
        private set

    /** The task's identifier on the wire. */
    val name: String get() = "${job.id}/$task"
    val occupiesMachine: Boolean get() = phase != AttemptPhase.EXITED

    /**
     * The expected remaining run time in ms, from the mean of the job's tasks that completed in this partition, or from
     * the user's estimate while too few have completed.
     */
    fun expectedRemainingMs(now: Long): Double =
        job.expectedRunMs - (if (phase == AttemptPhase.RUNNING) now - phaseSinceMs else 0)

    /** Records that the start command is part of the response that is being built. */
    fun markSent(now: Long) {
        phase = AttemptPhase.SENT
        startSent = true
        phaseSinceMs = now
    }

    /** Records that the heartbeat with number [sequence] reports this attempt. */
    fun shownBy(sequence: Long) {
        lastShownSequence = sequence
    }

    /** Records the phase [shown] from a heartbeat; it differs from the current one. */
    fun enterPhase(shown: AttemptPhase, now: Long) {
        when (shown) {
            AttemptPhase.RUNNING -> {
                // It is unknown how long an adopted attempt that already runs has been running.
                seenRunning = phase != AttemptPhase.SENT || startSent
                phaseSinceMs = now
                job.markStarted()
            }

            AttemptPhase.SAVING -> savingSinceMs = now

            else -> Unit
        }
        phase = shown
    }

    fun markExited() {
        phase = AttemptPhase.EXITED
    }

    fun protectFromPreemption() {
        protectedFromPreemption = true
    }

    fun requestStop() {
        if (stopping || !occupiesMachine) return
        stopping = true
        machine.resources.beingFreed.add(job.spec)
    }
}
