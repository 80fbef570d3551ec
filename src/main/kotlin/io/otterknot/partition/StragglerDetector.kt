package io.otterknot.partition

import io.otterknot.scheduling.Attempt
import io.otterknot.scheduling.AttemptPhase
import io.otterknot.scheduling.Machine
import org.slf4j.LoggerFactory

/**
 * Finds stragglers: tasks that run far longer than others of their job, and machines that run all their tasks far
 * slower than others do. Such a machine is put in quarantine: it is drained and given back.
 */
class StragglerDetector(private val zone: String) {
    private val log = LoggerFactory.getLogger(StragglerDetector::class.java)

    /** How long tasks that completed here ran, the recent ones counting most; null: none has completed yet. */
    var meanRunMs: Double? = null
        private set

    /** [attempt] has completed on [machine]. */
    fun completed(machine: Machine, attempt: Attempt, now: Long) {
        if (!attempt.seenRunning) return
        val runMs = now - attempt.phaseSinceMs
        val ratio = attempt.job.runs.ratio(runMs)
        attempt.job.runs.add(runMs)
        meanRunMs = meanRunMs?.let { it + (runMs - it) * MEAN_WEIGHT } ?: runMs.toDouble()
        if (ratio != null) recordSlowness(machine, ratio)
    }

    /**
     * Stops the stragglers on [machine], so that they are tried elsewhere: each task once at most, since it may be the
     * task that is long, and sooner where the machine is known to be slow.
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

    /** How many times as long as others of its job a straggler has run; null: it is none, or was restarted before. */
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
            "partition={} machine={} slowness={} machine quarantined, it is drained and released",
            zone,
            machine.id,
            machine.slowness,
        )
        machine.quarantine()
    }

    private companion object {
        /** A task that runs so many times as long as others of its job is a straggler. */
        const val MIN_RATIO = 4.0
        const val MIN_RATIO_ON_SLOW_MACHINE = 2.0
        const val MIN_RUN_MS = 20_000L

        /** How much the latest run time counts in the mean. */
        const val MEAN_WEIGHT = 0.05
    }
}
