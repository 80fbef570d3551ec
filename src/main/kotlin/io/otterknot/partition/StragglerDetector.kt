package io.otterknot.partition

import io.otterknot.scheduling.Attempt
import io.otterknot.scheduling.AttemptPhase
import io.otterknot.scheduling.Machine
import org.slf4j.LoggerFactory

/** Finds machines that run their tasks far slower than others, and tasks that run far longer than their like. */
class StragglerDetector(private val zone: String) {
    private val log = LoggerFactory.getLogger(StragglerDetector::class.java)

    /** How long tasks that completed here ran, the recent ones counting most; null: none has yet. */
    var meanRunMs: Double? = null
        private set

    /** [attempt] has completed on [machine]. */
    fun completed(machine: Machine, attempt: Attempt, now: Long) {
        if (!attempt.seenRunning) return
        val ms = now - attempt.phaseSinceMs
        val ratio = attempt.job.runs.ratio(ms)
        attempt.job.runs.add(ms)
        meanRunMs = meanRunMs?.let { it + (ms - it) * MEAN_WEIGHT } ?: ms.toDouble()
        if (ratio != null) noteSlowness(machine, ratio)
    }

    /**
     * A task that runs far longer than its like is stopped and tried elsewhere, where its machine is known to be slow;
     * otherwise once at most, since it may be the task that is long.
     */
    fun stopStragglers(machine: Machine, now: Long) {
        for (attempt in machine.attempts.values) {
            if (attempt.phase != AttemptPhase.RUNNING || attempt.stopping || !attempt.seenRunning) continue
            val job = attempt.job
            val ratio = job.runs.ratio(now - attempt.phaseSinceMs) ?: continue
            val limit = if (machine.slowness.slow) SLOW_MACHINE_RATIO else SINGLE_TASK_RATIO
            val isEarly = now - attempt.phaseSinceMs < LEAST_RUN_MS
            if (ratio < limit || isEarly || job.restarted.get(attempt.task)) continue
            job.restarted.set(attempt.task)
            machine.avoid(job, now)
            log.debug("{}: {} on {} runs {} times as long as others", zone, attempt.name, machine.id, ratio)
            attempt.requestStop()
            noteSlowness(machine, ratio)
        }
    }

    private fun noteSlowness(machine: Machine, ratio: Double) {
        machine.slowness.add(ratio)
        if (!machine.slowness.slow || machine.draining) return
        log.info(
            "{}: {} takes {} times as long as others for its tasks; it is emptied and returned",
            zone,
            machine.id,
            machine.slowness,
        )
        machine.draining = true
    }

    private companion object {
        const val SLOW_MACHINE_RATIO = 2.0
        const val SINGLE_TASK_RATIO = 4.0
        const val MEAN_WEIGHT = 0.05
        const val LEAST_RUN_MS = 20_000L
    }
}
