package io.otterknot.partition

import io.otterknot.scheduling.AttemptPhase
import io.otterknot.scheduling.Machine
import io.otterknot.wire.JobSpec

/** How long image fetches take in a partition, relative to the rate that the cloud states for its machine types. */
class FetchTimes {
    /** Moving average of the fetch time divided by the fetch time at the stated rate; recent fetches count most. */
    var factor = 1.0
        private set

    /**
     * Records that a task of [spec], which a heartbeat had shown to be fetching its image, has begun to run on
     * [machine], [tookMs] after its start command was sent.
     */
    fun record(machine: Machine, spec: JobSpec, tookMs: Long) {
        val statedS = statedS(machine, spec)
        if (statedS < MIN_STATED_S || isRateShared(machine, spec)) return
        factor += ((tookMs / MS_PER_S / statedS).coerceIn(MIN_FACTOR, MAX_FACTOR) - factor) * WEIGHT
    }

    private fun statedS(machine: Machine, spec: JobSpec): Double =
        if (machine.type.fetchGbPerS > 0) spec.imageGb / machine.type.fetchGbPerS else 0.0

    /**
     * Whether another image is being fetched at the same time: the two may share the rate, so the time is not recorded.
     */
    private fun isRateShared(machine: Machine, spec: JobSpec): Boolean =
        machine.attempts.values.any { it.phase == AttemptPhase.FETCHING && it.job.spec.image != spec.image }

    private companion object {
        const val MS_PER_S = 1000.0

        /** The measured time of a shorter fetch depends more on the heartbeat interval than on the fetch rate. */
        const val MIN_STATED_S = 0.5
        const val MIN_FACTOR = 0.25
        const val MAX_FACTOR = 8.0

        /** The weight of the latest fetch in [factor]. */
        const val WEIGHT = 0.1
    }
}
