package io.otterknot.partition

import io.otterknot.scheduling.Attempt
import io.otterknot.scheduling.AttemptPhase
import io.otterknot.scheduling.Machine
import org.slf4j.LoggerFactory

/**
 * Detects stragglers, which are tasks that run far longer than others of their job, and machines that run all their
 * tasks far slower than other machines do. Such a machine is quarantined: it is drained and released.
 */
class StragglerDetector(private val zone: String) {
    private val log = LoggerFactory.getLogger(StragglerDetector::class.java)

    /** The mean run time of tasks that completed here, weighted towards recent ones, or null if none has completed. */
    var meanRunMs: Double? = null
        private set

    /** Records the run time of [attempt], which has completed on [machine]. */
    fun completed(machine: Machine, attempt: Attempt, now: Long) {
        if (!attempt.seenRunning) return
        val runMs = now - attempt.phaseSinceMs
        val ratio = attempt.job.runs.ratio(runMs)
        attempt.job.runs.add(runMs)
        meanRunMs = meanRunMs?.let { it + (runMs - it) * MEAN_WEIGHT } ?: runMs.toDouble()
        if (ratio != null) recordSlowness(machine, ratio)
    }

    /**
     * Stops the stragglers on [machine], so that they are retried elsewhere. Each task is stopped once at most, since
     * it may be the task itself that takes long; a lower ratio suffices on a machine that is known to be slow.
     */
    fun stopStragglers(machine: Machine, now: Long) {
        for (attempt in machine.attempts.values) {
            val ratio = stragglerRatio(attempt, now) ?: continue
            attempt.job.restarted.set(attempt.task)
            machine.avoid(attempt.job, now)
            log.debug(
                "partition={} machine={} task={} ratio={} straggler stopped",
                zone,
                machine.id,
                attempt.name,
                ratio,
            )
            attempt.requestStop()
            recordSlowness(machine, ratio)
        }
    }

    /**
     * The run time of [attempt] relative to other tasks of its job, or null if it is not a straggler or was restarted
     * before.
     */
    private fun stragglerRatio(attempt: Attempt, now: Long): Double? {
        if (attempt.phase != AttemptPhase.RUNNING || attempt.stopping || !attempt.seenRunning) return null
        val runMs = now - attempt.phaseSinceMs
        val ratio = attempt.job.runs.ratio(runMs) ?: return null
        val minRatio = if (attempt.machine.slowness.isSlow) MIN_RATIO_ON_SLOW_MACHINE else MIN_RATIO
        if (ratio < minRatio || runMs < MIN_RUN_MS) return null
        return if (attempt.job.restarted.get(attempt.task)) null else ratio
    }

    private fun recordSlowness(machine: Machine, ratio: Double) {
        machine.slowness.add(ratio)
        if (!machine.slowness.isSlow || machine.quarantined) return
        log.info(
            "partition={} machine={} slowness={} machine quarantined, draining for release",
            zone,
            machine.id,
            machine.slowness,
        )
        machine.quarantine()
    }

    private companion object {
        /** A task that runs at least this many times as long as others of its job is a straggler. */
        const val MIN_RATIO = 4.0
        const val MIN_RATIO_ON_SLOW_MACHINE = 2.0
        const val MIN_RUN_MS = 20_000L

        /** The weight of the latest run time in the mean. */
        const val MEAN_WEIGHT = 0.05
    }
}
