package io.otterknot.scheduling

/**
 * One attempt at a task on one machine. [id] is unique among all leaders of the partition.
 *
 * Confined to the controller's event loop, as everything in this package.
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

    /** When it was sent, or began to run; when it was booked before that. */
    var phaseSinceMs = phaseSinceMs
        private set

    /** It is to stop: the stop goes out with the next response, and again until the attempt has exited. */
    var stopping = false
        private set

    /** Since when it writes its checkpoint; null: no heartbeat has shown it doing so. */
    var savingSinceMs: Long? = null
        private set

    /** This leader has sent its start; false of an attempt adopted from an earlier leader. */
    private var startSent = false

    /** It was seen to begin to run, so [phaseSinceMs] gives its run time. */
    var seenRunning = false
        private set

    /** Placed before more urgent work so that its job starts at all; never preempted. */
    var protectedFromPreemption = false
        private set

    /** The sequence number of the last heartbeat that showed it; -1: none has. */
    var lastShownSequence = -1L
        private set

    /** The task's name on the wire. */
    val name: String get() = "${job.id}/$task"
    val occupiesMachine: Boolean get() = phase != AttemptPhase.EXITED

    /** How long it will run yet in ms, by the job's tasks that have completed here, or else by its user's estimate. */
    fun expectedRemainingMs(now: Long): Double =
        job.expectedRunMs - (if (phase == AttemptPhase.RUNNING) now - phaseSinceMs else 0)

    /** Its start goes out with the response that is being made. */
    fun markSent(now: Long) {
        phase = AttemptPhase.SENT
        startSent = true
        phaseSinceMs = now
    }

    /** The heartbeat [sequence] shows it. */
    fun shownBy(sequence: Long) {
        lastShownSequence = sequence
    }

    /** A heartbeat shows it in [shown], another phase than before. */
    fun enterPhase(shown: AttemptPhase, now: Long) {
        when (shown) {
            AttemptPhase.RUNNING -> {
                // An adopted attempt that already runs has done so for a time that is not known.
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
        machine.beingFreed.add(job.spec)
    }
}
